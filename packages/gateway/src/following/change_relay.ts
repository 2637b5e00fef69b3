/**
 * The serving side of a relay, which forwards its own copy of the store's
 * objects to other instances of its failure domain. Only relays then watch the
 * store, so its load does not grow with every instance.
 */
import { type PeerMethods, shareEncoding } from "@rosemarypin/membership";
import { createInterruptibleTimer, pause } from "@rosemarypin/timing";
import { expiringKeysOf, type ObjectMirror } from "./object_mirror.ts";
import type { Presence } from "./presence.ts";
import {
  FOLLOW_METHOD,
  type FollowRequest,
  type FollowResponse,
  followRequestSchema,
  MAX_STALENESS_MS,
} from "./relay_protocol.ts";

/** How often a relay with followers hears of the store at least. */
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
/** Shorter, since a follower waits for 250 ms for its first response. */
const FIRST_PROBE_TIMEOUT_MS = 150;
/** A relay stops its probes after this time without a follower's call. */
const FOLLOWER_TIMEOUT_MS = 3_000;
/**
 * How long a response is shared by followers at the same position. They wake
 * up together; the age of the copy that it states is too small by this at most.
 */
const SHARING_MS = 20;
/** Shortest time that a call is held while the copy is about to be stale. */
const MIN_HOLD_MS = 50;

export interface ChangeRelay {
  readonly methods: PeerMethods;
  /** Number of instances that follow this one. */
  countFollowers(): number;
  /**
   * Whether an instance of the version before follows this one. It takes this
   * one's probes for proof of a fresh copy, so this one must watch the store.
   */
  servesOlderVersion(): boolean;
}

export interface ChangeRelayOptions {
  readonly mirrors: () => readonly ObjectMirror[];
  /** Sends a small read to the store; resolves to whether it answered in time. */
  readonly probeStore: (timeoutMs: number) => Promise<boolean>;
  /** Whether this instance follows another one, and doesn't watch the store. */
  readonly isFollowing?: () => boolean;
  /** What is known of instances, for followers that ask for it. */
  readonly presence?: Pick<
    Presence,
    "list" | "lastListedAt" | "recordFollower"
  >;
  readonly signal: AbortSignal;
}

/**
 * Creates the RPC methods of a relay. A watch may stay open for seconds without
 * a change and so doesn't show that the store is reachable. Probes do; they
 * allow stale reads, which cost a tenth of a consistent read.
 */
export function createChangeRelay({
  mirrors,
  probeStore,
  isFollowing = () => false,
  presence,
  signal,
}: ChangeRelayOptions): ChangeRelay {
  /** Latest calls of followers, by name. */
  const lastCallByName = new Map<string, number>();
  let lastRequestAt = -Infinity;
  let lastUnnamedRequestAt = -Infinity;
  let waitingUnnamedCalls = 0;
  let lastProbeAt = -Infinity;
  let lastAnsweredProbeAt = -Infinity;
  let isProbing = false;
  /** The probe that the first responses to followers wait for. */
  let refresh: Promise<void> | null = null;
  let shared = {
    madeAt: -Infinity,
    responses: new Map<string, FollowResponse>(),
  };

  /** A probe is sent only if nothing else has shown that the store answers. */
  async function probeWhileFollowed(): Promise<void> {
    if (isProbing) return;
    isProbing = true;
    while (!signal.aborted && hasFollowers() && !isFollowing()) {
      const lastContactAt = performance.now() - contactAgeMs();
      const dueAt = Math.max(lastContactAt, lastProbeAt) + PROBE_INTERVAL_MS;
      const dueMs = dueAt - performance.now();
      if (dueMs > 0) {
        await pause(Math.min(dueMs, PROBE_INTERVAL_MS), signal);
        continue;
      }
      await probe(PROBE_TIMEOUT_MS);
    }
    isProbing = false;
  }

  async function probe(timeoutMs: number): Promise<void> {
    const sentAt = performance.now();
    lastProbeAt = sentAt;
    if (!(await probeStore(timeoutMs))) return;
    lastAnsweredProbeAt = Math.max(lastAnsweredProbeAt, sentAt);
  }

  /**
   * Probes the store before the first response to a follower, unless calls fail.
   * A relay that had no followers has not probed, so its copy would look stale
   * to the first one although nothing has changed.
   */
  async function refreshAge(): Promise<void> {
    const ageMs = storeAgeMs();
    const isOnlyUnconfirmed =
      ageMs > MAX_STALENESS_MS && ageMs < Number.MAX_SAFE_INTEGER;
    if (isFollowing() || !isOnlyUnconfirmed) return;
    refresh ??= probe(FIRST_PROBE_TIMEOUT_MS).finally(() => {
      refresh = null;
    });
    await refresh;
  }

  function hasFollowers(): boolean {
    return performance.now() - lastRequestAt < FOLLOWER_TIMEOUT_MS;
  }

  function recordCall({ from }: FollowRequest): void {
    lastRequestAt = performance.now();
    if (from === undefined) {
      lastUnnamedRequestAt = lastRequestAt;
      return;
    }
    lastCallByName.set(from, lastRequestAt);
    presence?.recordFollower(from);
  }

  function countNamedFollowers(): number {
    const now = performance.now();
    for (const [name, calledAt] of lastCallByName)
      if (now - calledAt > FOLLOWER_TIMEOUT_MS) lastCallByName.delete(name);
    return lastCallByName.size;
  }

  function changesAfter(request: FollowRequest): FollowResponse["changes"] {
    return request.positions.flatMap(({ prefix, position }) => {
      const mirror = mirrors().find((mirror) => mirror.prefix === prefix);
      if (!mirror) return [];
      const changes = mirror.changeLog.after(position);
      const isUnchanged =
        changes.position.epoch === position?.epoch &&
        changes.position.sequence === position.sequence;
      if (isUnchanged) return [];
      const { objects, removed } = changes;
      const expiring = expiringKeysOf(mirror, objects);
      return [
        {
          ...changes,
          prefix,
          objects: [...objects],
          removed: [...removed],
          revision: mirror.revision(),
          ...(expiring.length > 0 ? { expiring } : {}),
        },
      ];
    });
  }

  function presenceFor({ presence: known }: FollowRequest) {
    return known === undefined
      ? null
      : (presence?.list.newerThan(known) ?? null);
  }

  /**
   * The response to the request by what is known now. Followers that have the
   * same get the same object, which is encoded once.
   */
  function respondTo(request: FollowRequest): FollowResponse {
    const now = performance.now();
    if (now - shared.madeAt > SHARING_MS)
      shared = { madeAt: now, responses: new Map() };
    const logPositions = mirrors().map(({ changeLog }) => changeLog.position());
    const key = JSON.stringify([
      request.positions,
      request.presence === undefined ? "not asked" : request.presence,
      logPositions,
      presence?.list.version(),
    ]);
    const existing = shared.responses.get(key);
    if (existing) return existing;
    const newPresence = presenceFor(request);
    const response: FollowResponse = shareEncoding({
      ageMs: storeAgeMs(),
      changes: changesAfter(request),
      ...(newPresence ? { presence: newPresence } : {}),
    });
    shared.responses.set(key, response);
    return response;
  }

  /**
   * Waits for a change of any mirror or of presence. Listeners are removed
   * after each call: a prefix may not change for hours, and they would pile up.
   */
  async function waitForChange(
    request: FollowRequest,
    withinMs: number,
  ): Promise<void> {
    const alarm = createInterruptibleTimer();
    const unsubscribers = mirrors().map(({ changeLog }) =>
      changeLog.onChange(alarm.interrupt),
    );
    if (presence && request.presence !== undefined)
      unsubscribers.push(presence.list.onChange(alarm.interrupt));
    await alarm.wait(withinMs, signal);
    for (const unsubscribe of unsubscribers) unsubscribe();
  }

  /**
   * A copy that gets stale is reported then, rather than after the whole hold:
   * the follower has to know a change within 2 s of its write.
   */
  function holdMsOf({ holdMs }: FollowRequest): number {
    const freshMs = MAX_STALENESS_MS + 1 - storeAgeMs();
    return Math.min(holdMs, Math.max(MIN_HOLD_MS, freshMs));
  }

  /** Milliseconds since the store last answered this instance. */
  function contactAgeMs(): number {
    const now = performance.now();
    const lastAt = Math.max(
      lastAnsweredProbeAt,
      presence?.lastListedAt() ?? -Infinity,
    );
    return Math.min(now - lastAt, ...mirrors().map((mirror) => mirror.ageMs()));
  }

  /**
   * Milliseconds since the store last answered; `MAX_SAFE_INTEGER` while
   * watches fail, as JSON can't encode infinity. The copy of a follower is as
   * old as its relay states: were its own probes to count, two instances that
   * follow each other would take their copies for fresh without end.
   */
  function storeAgeMs(): number {
    if (mirrors().some((mirror) => mirror.unavailableMs() > 0)) {
      return Number.MAX_SAFE_INTEGER;
    }
    const watchAgeMs = Math.max(...mirrors().map((mirror) => mirror.ageMs()));
    const hasWatchAnswer = watchAgeMs < Number.POSITIVE_INFINITY;
    if (!hasWatchAnswer) return Number.MAX_SAFE_INTEGER;
    return isFollowing() ? watchAgeMs : contactAgeMs();
  }

  function isWorthSending({ changes, presence }: FollowResponse): boolean {
    return changes.length > 0 || presence !== undefined;
  }

  return {
    countFollowers: () => countNamedFollowers() + waitingUnnamedCalls,
    servesOlderVersion: () =>
      performance.now() - lastUnnamedRequestAt < FOLLOWER_TIMEOUT_MS,
    methods: {
      async [FOLLOW_METHOD](params): Promise<FollowResponse> {
        const request = followRequestSchema.parse(params);
        recordCall(request);
        void probeWhileFollowed();
        if (request.holdMs === 0) await refreshAge();
        const response = respondTo(request);
        if (isWorthSending(response) || request.holdMs === 0) return response;
        const isUnnamed = request.from === undefined;
        if (isUnnamed) waitingUnnamedCalls += 1;
        await waitForChange(request, holdMsOf(request));
        if (isUnnamed) waitingUnnamedCalls -= 1;
        return respondTo(request);
      },
    },
  };
}
