/**
 * Follows the store through a relay: an instance that watches the store and
 * forwards its own copy. If the relay does not answer, or its copy is stale,
 * the mirrors read the store directly until another relay can be followed.
 */
import type { PeerCaller } from "@rosemarypin/membership";
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { createInterruptibleTimer, pause } from "@rosemarypin/timing";
import type { ChangePosition } from "./change_log.ts";
import type { ObjectMirror, RelayFollower } from "./object_mirror.ts";
import type { Presence } from "./presence.ts";
import { READ_SPREAD_MS } from "./presence_timing.ts";
import {
  FOLLOW_METHOD,
  type FollowResponse,
  followResponseSchema,
  LONG_POLL_TIMEOUT_MS,
  MAX_STALENESS_MS,
} from "./relay_protocol.ts";

/** Added to the long poll's duration for network delay and a busy relay. */
const NETWORK_MARGIN_MS = 250;
/**
 * Spread of the reads after a stale copy. A copy from a relay of the version
 * before may be 1.6 s old by then, and a change has to be known after 2 s.
 */
const STALE_READ_SPREAD_MS = 100;
/**
 * Time for which a relay is passed over after it failed: as long as the
 * presence of an instance that ended lasts.
 */
const PASS_OVER_MS = 20_000;
/**
 * The same for a relay whose copy is stale. All relays are while the store is
 * down, and they can be followed again right after. Shorter than the time for
 * which a relay goes on to probe the store after a call.
 */
const PASS_OVER_STALE_MS = 2_000;
/** How often an instance without a relay checks for one. */
const RELAY_CHECK_INTERVAL_MS = 500;
/** Longest wait at the start until other instances are known. */
const START_PRESENCE_MS = 500;
/**
 * How long an instance that starts tries to follow a relay before it reads the
 * store: the relays may be starting as well.
 */
const START_FOLLOW_MS = 400;
const START_RETRY_INTERVAL_MS = 50;

const STALE_COPY = "stale_copy";
const NO_LONGER_A_RELAY = "no_longer_a_relay";

const log = createLogger("peers");

type FollowerPresence = Pick<
  Presence,
  "started" | "setFollowing" | "applyRelayed"
>;

export interface RelayFollowerOptions {
  readonly mirrors: () => readonly ObjectMirror[];
  readonly caller: PeerCaller;
  /** Relays to follow, in order of preference; empty if this is a relay. */
  readonly relays: (
    isPassedOver: (relay: Address) => boolean,
  ) => readonly Address[];
  /** Name of this instance, by which relays know their followers. */
  readonly instance?: string;
  /** Receives the presence of others from relays. */
  readonly presence?: FollowerPresence;
  readonly signal: AbortSignal;
}

/** Starts to follow relays as they are available, until the signal aborts. */
export function startRelayFollower(
  options: RelayFollowerOptions,
): RelayFollower {
  const { mirrors, caller, instance, presence, signal } = options;
  /** Times until which relays are passed over, by address. */
  const passedOverUntil = new Map<string, number>();
  let isFollowing = false;
  let presenceVersion: number | null = null;
  let startAttempts = 0;
  let isStartSettled = false;
  let readSpreadMs = READ_SPREAD_MS;
  const endListeners = new Set<() => void>();
  const followListeners = new Set<() => void>();
  const presenceKnown = presence
    ? Promise.race([presence.started, pause(START_PRESENCE_MS, signal)])
    : Promise.resolve();
  const startSettled = settleStart();
  void run();

  async function run(): Promise<void> {
    await presenceKnown;
    const startEndsAt = performance.now() + START_FOLLOW_MS;
    while (!signal.aborted) {
      const isStarting = performance.now() < startEndsAt;
      const relay = isStarting ? nextAtStart() : candidates()[0];
      if (!relay) {
        setFollowing(false);
        await pause(RELAY_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const reason = await follow(relay);
      const hasFollowed = isFollowing;
      readSpreadMs =
        reason === STALE_COPY ? STALE_READ_SPREAD_MS : READ_SPREAD_MS;
      setFollowing(false);
      if (signal.aborted) return;
      if (isStarting && !hasFollowed) {
        startAttempts += 1;
        await pause(START_RETRY_INTERVAL_MS, signal);
        continue;
      }
      log.info("relay_passed_over", { peer: relay.host, reason });
      passOver(relay, reason);
    }
  }

  function candidates(): readonly Address[] {
    return options.relays(isPassedOver).filter((relay) => !isPassedOver(relay));
  }

  /** Relays that start take no calls yet, so they are tried in turn. */
  function nextAtStart(): Address | undefined {
    const relays = candidates();
    return relays[startAttempts % Math.max(1, relays.length)];
  }

  function isPassedOver(relay: Address): boolean {
    const until = passedOverUntil.get(formatAddress(relay)) ?? -Infinity;
    return performance.now() < until;
  }

  function passOver(relay: Address, reason: string): void {
    const now = performance.now();
    for (const [address, until] of passedOverUntil)
      if (until <= now) passedOverUntil.delete(address);
    if (reason === NO_LONGER_A_RELAY) return;
    const durationMs =
      reason === STALE_COPY ? PASS_OVER_STALE_MS : PASS_OVER_MS;
    const spread = 0.75 + Math.random() / 2;
    passedOverUntil.set(formatAddress(relay), now + durationMs * spread);
  }

  function setFollowing(value: boolean): void {
    isFollowing = value;
    if (!value) presenceVersion = null;
    const withPresence = presenceVersion !== null;
    const state = withPresence ? "changes_and_presence" : "changes";
    presence?.setFollowing(value ? state : "none");
    for (const listener of [...(value ? followListeners : endListeners)])
      listener();
  }

  /** Resolves when the mirrors may read the store for the first time. */
  async function settleStart(): Promise<void> {
    await presenceKnown;
    if (candidates().length > 0) {
      await waitToFollow(START_FOLLOW_MS);
      await waitToFollow(Math.random() * READ_SPREAD_MS);
    }
    isStartSettled = true;
  }

  /** Waits until a relay is followed, or for the time. */
  async function waitToFollow(timeoutMs: number): Promise<void> {
    if (isFollowing) return;
    const timer = createInterruptibleTimer();
    followListeners.add(timer.interrupt);
    await timer.wait(timeoutMs, signal);
    followListeners.delete(timer.interrupt);
  }

  /** Follows one relay until it fails; resolves to the reason. */
  async function follow(relay: Address): Promise<string> {
    const positions = new Map<string, ChangePosition>();
    while (!signal.aborted && isCandidate(relay)) {
      const response = await requestChanges(relay, positions);
      if (typeof response === "string") return response;
      if (response.ageMs > MAX_STALENESS_MS) return STALE_COPY;
      const isComplete = applyChanges(response, positions);
      if (!isComplete) return "prefix_unknown";
      if (presence && response.presence !== undefined)
        presenceVersion =
          presence.applyRelayed(response.presence) ?? presenceVersion;
      if (!isFollowing) log.info("relay_followed", { peer: relay.host });
      setFollowing(true);
    }
    return NO_LONGER_A_RELAY;
  }

  /** Returns whether the relay has sent objects of every prefix. */
  function applyChanges(
    { ageMs, changes }: FollowResponse,
    positions: Map<string, ChangePosition>,
  ): boolean {
    for (const { prefix, position } of changes) positions.set(prefix, position);
    for (const mirror of mirrors()) {
      if (!positions.has(mirror.prefix)) continue;
      mirror.recordRelayResponse(ageMs);
      const changed = changes.find(({ prefix }) => prefix === mirror.prefix);
      if (changed) mirror.applyRelayChanges(changed);
    }
    return mirrors().every(({ prefix }) => positions.has(prefix));
  }

  function isCandidate(relay: Address): boolean {
    return options
      .relays(isPassedOver)
      .map(formatAddress)
      .includes(formatAddress(relay));
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
      params: {
        holdMs,
        positions,
        ...(instance === undefined ? {} : { from: instance }),
        ...(presence ? { presence: presenceVersion } : {}),
      },
      timeoutMs: holdMs + NETWORK_MARGIN_MS,
    });
    if (response.kind !== "ok") return response.kind;
    const parsed = followResponseSchema.safeParse(response.value);
    return parsed.success ? parsed.data : "unreadable";
  }

  return {
    isFollowing: () => isFollowing,
    onEnded(listener) {
      endListeners.add(listener);
      return () => endListeners.delete(listener);
    },
    async waitToRead() {
      if (!isStartSettled) return await startSettled;
      await waitToFollow(Math.random() * readSpreadMs);
    },
  };
}
