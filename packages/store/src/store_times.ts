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
 * For clients that receive changes only from the store. Changes must be seen
 * within two seconds of their acknowledgement, but a connection can stop
 * delivering without being closed. Short holds detect such a connection early.
 */
export const SHORT_WATCH_TIMEOUTS: StoreTimeouts = {
  callMs: 1_000,
  watchHoldMs: 3_000,
  watchMarginMs: 800,
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
