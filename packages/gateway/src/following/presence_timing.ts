/** How often an instance renews its presence object and lists the others. */
import {
  MAX_RENEWAL_INTERVAL_MS,
  type PresenceTable,
} from "./presence_table.ts";

/**
 * Renewal interval of a follower where others renew at the longest interval. An
 * instance of the version before reads every 8 s and counts another as dead
 * after 20 s without a change, so a longer interval would look like a failure.
 */
const FOLLOWER_RENEWAL_INTERVAL_MS = 16_000;
/** How often an instance reads the objects that passes them on. */
const RELAY_LIST_INTERVAL_MS = 2_000;
/** An instance passes objects on for this time after a follower's call. */
const FOLLOWER_TIMEOUT_MS = 3_000;
/** Instances that can't follow a relay spread their reads over this time. */
export const READ_SPREAD_MS = 300;
/** A wait without a reason to end; timers take no longer ones. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Whence this instance learns of the store: itself; changes of objects from a
 * relay, which may be of the version before; or also presence from it.
 */
export type FollowingState = "none" | "changes" | "changes_and_presence";

export interface PresenceTiming {
  /** `retryMs` is the delay after a failed renewal, if the latest one failed. */
  renewalIntervalMs(retryMs: number | null): number;
  listIntervalMs(): number;
  /** Sets whence this instance learns of the store; returns what held before. */
  follow(state: FollowingState): FollowingState;
  /** Records a call of a follower; returns whether it is the first lately. */
  recordFollower(): boolean;
}

/** Creates the timing of an instance that follows no relay yet. */
export function createPresenceTiming(
  table: Pick<PresenceTable, "renewalIntervalMs">,
): PresenceTiming {
  let following: FollowingState = "none";
  let lastFollowerAt = -Infinity;

  function hasFollowers(): boolean {
    return performance.now() - lastFollowerAt < FOLLOWER_TIMEOUT_MS;
  }

  return {
    renewalIntervalMs(retryMs) {
      const intervalMs = table.renewalIntervalMs();
      if (retryMs !== null) return Math.min(retryMs, intervalMs);
      const isLongest = intervalMs === MAX_RENEWAL_INTERVAL_MS;
      return following !== "none" && isLongest
        ? FOLLOWER_RENEWAL_INTERVAL_MS
        : intervalMs;
    },
    listIntervalMs() {
      if (following === "changes_and_presence") return MAX_TIMER_MS;
      return hasFollowers()
        ? RELAY_LIST_INTERVAL_MS
        : table.renewalIntervalMs();
    },
    follow(state) {
      const previous = following;
      following = state;
      return previous;
    },
    recordFollower() {
      const hadFollowers = hasFollowers();
      lastFollowerAt = performance.now();
      return !hadFollowers;
    },
  };
}
