/** Timeouts for calls to the object API. */

/** All in milliseconds. */
export interface StoreTimeouts {
  /** Limit from sending a call to its reply. */
  readonly callMs: number;
  /** How long the store holds a watch without changes before it replies. */
  readonly watchHoldMs: number;
  /** Margin on top of the hold, for network latency and a slow store. */
  readonly watchMarginMs: number;
}

/**
 * For clients that receive changes only from the store. A connection can stop
 * delivering without being closed, and instances must have the newest changes
 * three seconds later. Hold and margin leave time for a read on a new
 * connection and for a watch that begins late, after a burst of changes.
 */
export const SHORT_WATCH_TIMEOUTS: StoreTimeouts = {
  callMs: 1_000,
  watchHoldMs: 2_000,
  watchMarginMs: 500,
};

/**
 * For clients that also receive changes from peers. A connection that stopped
 * delivering may be detected later, and one call in 25 s is an eighth of the
 * call rate of short holds.
 */
export const LONG_WATCH_TIMEOUTS: StoreTimeouts = {
  callMs: 2_000,
  watchHoldMs: 25_000,
  watchMarginMs: 2_000,
};
