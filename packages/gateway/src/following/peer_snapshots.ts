/**
 * Exchange of mirror contents between instances. An instance that can't reach
 * the store gets the configuration and the list of backend servers from a peer.
 */
import { createHash } from "node:crypto";
import type { PeerCaller, PeerMethods } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { z } from "zod";
import { storedObjectsSchema } from "./change_log.ts";
import { expiringKeysOf, type ObjectMirror } from "./object_mirror.ts";

const SNAPSHOT_METHOD = "objects.since";
/**
 * How often an instance that can't reach the store calls a peer. A revoked key
 * or a leaving server must take effect within two seconds; this allows a second
 * attempt if the first peer is cut off as well.
 */
const REQUEST_INTERVAL_MS = 400;
/**
 * Duration of an outage of the store after which peers are called. Most
 * failures end earlier, with the next retry of the store call.
 */
const UNAVAILABLE_THRESHOLD_MS = 250;
const CALL_TIMEOUT_MS = 350;

const log = createLogger("peers");

const snapshotRequestSchema = z.object({
  prefix: z.string(),
  revision: z.number(),
  /** Digest of the objects that the instance has; absent from older versions. */
  digest: z.string().optional().catch(undefined),
});
const snapshotSchema = z.object({
  revision: z.int().nonnegative(),
  /** Absent if the peer's objects have the digest of the request. */
  objects: storedObjectsSchema.optional(),
  /** Keys of objects that the peer removes after a grace period. */
  expiring: z.array(z.string()).optional().catch(undefined),
});

/**
 * Digest of a mirror's objects and of which of them it keeps for a grace period
 * only. A revision grows with each write to the store, under any prefix, so a
 * newer one doesn't show that an object has changed.
 */
function digestOf(mirror: ObjectMirror): string {
  const hash = createHash("sha256");
  const lines = mirror
    .objects()
    .map(({ key, version }) =>
      JSON.stringify([key, version, mirror.isExpiring(key)]),
    );
  for (const line of lines.sort()) hash.update(line);
  return hash.digest("base64");
}

/** Creates the RPC methods that serve this instance's mirrors to peers. */
export function createSnapshotMethods(
  mirrors: readonly ObjectMirror[],
): PeerMethods {
  return {
    [SNAPSHOT_METHOD](params) {
      const { prefix, revision, digest } = snapshotRequestSchema.parse(params);
      const mirror = mirrors.find((mirror) => mirror.prefix === prefix);
      if (!mirror || mirror.revision() <= revision) return null;
      if (digest === digestOf(mirror)) return { revision: mirror.revision() };
      const objects = mirror.objects();
      const expiring = expiringKeysOf(mirror, objects);
      return { revision: mirror.revision(), objects, expiring };
    },
  };
}

/**
 * Starts to update mirrors from random peers while the store is unreachable,
 * until the signal aborts.
 */
export function startPeerSnapshots(options: {
  readonly mirrors: readonly ObjectMirror[];
  readonly caller: PeerCaller;
  readonly peers: () => readonly Address[];
  readonly signal: AbortSignal;
}): void {
  const { mirrors, caller, peers, signal } = options;
  void run();

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await pause(REQUEST_INTERVAL_MS, signal);
      const disconnected = mirrors.filter(
        (mirror) => mirror.unavailableMs() > UNAVAILABLE_THRESHOLD_MS,
      );
      await Promise.all(disconnected.map(requestSnapshot));
    }
  }

  async function requestSnapshot(mirror: ObjectMirror): Promise<void> {
    const addresses = peers();
    const peer = addresses[Math.floor(Math.random() * addresses.length)];
    if (!peer) return;
    const { prefix } = mirror;
    const digest = digestOf(mirror);
    const params = { prefix, revision: mirror.revision(), digest };
    const timeoutMs = CALL_TIMEOUT_MS;
    const response = await caller.call(peer, SNAPSHOT_METHOD, {
      params,
      timeoutMs,
    });
    if (response.kind !== "ok" || response.value === null) return;
    const snapshot = snapshotSchema.safeParse(response.value);
    if (!snapshot.success) {
      const reason = z.prettifyError(snapshot.error);
      log.warn("news_unreadable", { peer: peer.host, reason });
      return;
    }
    const { revision, objects, expiring } = snapshot.data;
    if (revision <= mirror.revision()) return;
    if (!objects) {
      // The mirror may have changed during the call.
      if (digest === digestOf(mirror)) mirror.confirmCopy(revision);
      return;
    }
    log.info("news_from_peer", {
      peer: peer.host,
      prefix,
      from: mirror.revision(),
      to: revision,
    });
    mirror.applyPeerSnapshot({ revision, objects, expiring });
  }
}
