/**
 * The serving side of a relay, which forwards its own copy of the store's
 * objects to other instances of its failure domain. Only relays then watch the
 * store, so its load does not grow with every instance.
 */
import type { PeerMethods } from "@rosemarypin/membership";
import { createInterruptibleTimer, pause } from "@rosemarypin/timing";
import type { ObjectMirror } from "./object_mirror.ts";
import {
  FOLLOW_METHOD,
  type FollowRequest,
  type FollowResponse,
  followRequestSchema,
} from "./relay_protocol.ts";

/** How often a relay with followers probes the store. */
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
/** A relay stops its probes after this time without a follower's call. */
const FOLLOWER_TIMEOUT_MS = 3_000;

export interface ChangeRelay {
  readonly methods: PeerMethods;
  /** Number of instances that follow this one: calls that wait for changes. */
  countFollowers(): number;
}

export interface ChangeRelayOptions {
  readonly mirrors: () => readonly ObjectMirror[];
  /** Sends a small read to the store; resolves to whether it answered in time. */
  readonly probeStore: (timeoutMs: number) => Promise<boolean>;
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
  signal,
}: ChangeRelayOptions): ChangeRelay {
  let lastRequestAt = -Infinity;
  let lastAnsweredProbeAt = -Infinity;
  let isProbing = false;
  let waitingCalls = 0;

  async function probeWhileFollowed(): Promise<void> {
    if (isProbing) return;
    isProbing = true;
    while (!signal.aborted && hasFollowers()) {
      await pause(PROBE_INTERVAL_MS, signal);
      const sentAt = performance.now();
      if (await probeStore(PROBE_TIMEOUT_MS)) lastAnsweredProbeAt = sentAt;
    }
    isProbing = false;
  }

  function hasFollowers(): boolean {
    return performance.now() - lastRequestAt < FOLLOWER_TIMEOUT_MS;
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
      return [
        { ...changes, prefix, objects: [...objects], removed: [...removed] },
      ];
    });
  }

  /**
   * Waits for a change of any mirror. Listeners are removed after each call:
   * a prefix may not change for hours, and they would pile up.
   */
  async function waitForChange(withinMs: number): Promise<void> {
    const alarm = createInterruptibleTimer();
    const unsubscribers = mirrors().map(({ changeLog }) =>
      changeLog.onChange(alarm.interrupt),
    );
    await alarm.wait(withinMs, signal);
    for (const unsubscribe of unsubscribers) unsubscribe();
  }

  /**
   * Milliseconds since the store last answered; `MAX_SAFE_INTEGER` while
   * watches fail, as JSON can't encode infinity.
   */
  function storeAgeMs(): number {
    if (mirrors().some((mirror) => mirror.unavailableMs() > 0)) {
      return Number.MAX_SAFE_INTEGER;
    }
    const watchAgeMs = Math.max(...mirrors().map((mirror) => mirror.ageMs()));
    const probeAgeMs = performance.now() - lastAnsweredProbeAt;
    const hasWatchAnswer = watchAgeMs < Number.POSITIVE_INFINITY;
    if (!hasWatchAnswer) return Number.MAX_SAFE_INTEGER;
    return Math.min(watchAgeMs, probeAgeMs);
  }

  return {
    countFollowers: () => waitingCalls,
    methods: {
      async [FOLLOW_METHOD](params): Promise<FollowResponse> {
        const request = followRequestSchema.parse(params);
        lastRequestAt = performance.now();
        void probeWhileFollowed();
        let changes = changesAfter(request);
        if (changes.length === 0 && request.holdMs > 0) {
          waitingCalls += 1;
          await waitForChange(request.holdMs);
          waitingCalls -= 1;
          changes = changesAfter(request);
        }
        return { ageMs: storeAgeMs(), changes };
      },
    },
  };
}
