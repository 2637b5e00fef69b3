/**
 * Follows the store through a relay: an instance that watches the store and
 * forwards its own copy. If the relay does not answer, or its copy is stale,
 * the mirrors read the store directly until another relay can be followed.
 */
import type { PeerCaller } from "@rosemarypin/membership";
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { ChangePosition } from "./change_log.ts";
import type { ObjectMirror, RelayFollower } from "./object_mirror.ts";
import {
  FOLLOW_METHOD,
  type FollowResponse,
  followResponseSchema,
  LONG_POLL_TIMEOUT_MS,
} from "./relay_protocol.ts";

/** Added to the long poll's duration for network delay and a busy relay. */
const NETWORK_MARGIN_MS = 250;
/**
 * A relay whose copy is older than this is abandoned. Together with the long
 * poll, the follower's copy is at most 1.6 s old by then, and the store is read
 * immediately.
 */
const MAX_STALENESS_MS = 1_000;
/** Delay before the next relay is tried; doubles with each failure. */
const INITIAL_RETRY_DELAY_MS = 1_000;
const MAX_RETRY_DELAY_MS = 16_000;
/** How often an instance without a relay checks for one. */
const RELAY_CHECK_INTERVAL_MS = 500;

const log = createLogger("peers");

export interface RelayFollowerOptions {
  readonly mirrors: () => readonly ObjectMirror[];
  readonly caller: PeerCaller;
  /** Relays to follow, in order of preference; empty if this is a relay. */
  readonly relays: () => readonly Address[];
  readonly signal: AbortSignal;
}

/** Starts to follow relays as they are available, until the signal aborts. */
export function startRelayFollower(
  options: RelayFollowerOptions,
): RelayFollower {
  const { mirrors, caller, relays, signal } = options;
  let following = false;
  let failures = 0;
  const listeners = new Set<() => void>();
  void run();

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const candidates = relays();
      const relay = candidates[failures % Math.max(1, candidates.length)];
      if (!relay) {
        endFollowing();
        await pause(RELAY_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const reason = await follow(relay);
      endFollowing();
      if (signal.aborted) return;
      log.info("relay_passed_over", { peer: relay.host, reason });
      await pause(retryDelayMs(), signal);
      failures += 1;
    }
  }

  function retryDelayMs(): number {
    const delayMs = INITIAL_RETRY_DELAY_MS * 2 ** Math.min(failures, 4);
    return Math.min(MAX_RETRY_DELAY_MS, delayMs) * (0.5 + Math.random() / 2);
  }

  function endFollowing(): void {
    following = false;
    for (const listener of [...listeners]) listener();
  }

  /** Follows one relay until it fails; resolves to the reason. */
  async function follow(relay: Address): Promise<string> {
    const positions = new Map<string, ChangePosition>();
    while (!signal.aborted && isCandidate(relay)) {
      const response = await requestChanges(relay, positions);
      if (typeof response === "string") return response;
      if (response.ageMs > MAX_STALENESS_MS) return "store_not_heard_of";
      for (const changes of response.changes) {
        positions.set(changes.prefix, changes.position);
        mirrors()
          .find(({ prefix }) => prefix === changes.prefix)
          ?.applyRelayChanges(changes, response.ageMs);
      }
      const hasEveryPrefix = mirrors().every(({ prefix }) =>
        positions.has(prefix),
      );
      if (!hasEveryPrefix) return "prefix_unknown";
      if (!following) log.info("relay_followed", { peer: relay.host });
      following = true;
      failures = 0;
    }
    return "no_relay_any_more";
  }

  function isCandidate(relay: Address): boolean {
    return relays().map(formatAddress).includes(formatAddress(relay));
  }

  async function requestChanges(
    relay: Address,
    lastPositions: ReadonlyMap<string, ChangePosition>,
  ): Promise<FollowResponse | string> {
    const holdMs = lastPositions.size === 0 ? 0 : LONG_POLL_TIMEOUT_MS;
    const positions = mirrors().map(({ prefix }) => ({
      prefix,
      position: lastPositions.get(prefix) ?? null,
    }));
    const response = await caller.call(relay, FOLLOW_METHOD, {
      params: { holdMs, positions },
      timeoutMs: holdMs + NETWORK_MARGIN_MS,
    });
    if (response.kind !== "ok") return response.kind;
    const parsed = followResponseSchema.safeParse(response.value);
    return parsed.success ? parsed.data : "unreadable";
  }

  return {
    isFollowing: () => following,
    onEnded(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
