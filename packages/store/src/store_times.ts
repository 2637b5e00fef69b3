/** How long calls to the object API may take. */

/** All in milliseconds. */
export interface StoreTimes {
  /** From sending a call to its answer. */
  readonly callMs: number;
  /** How long the store holds a watch without news. */
  readonly watchHoldMs: number;
  /** Beyond the hold, for the way and a slow store. */
  readonly watchMarginMs: number;
}

/**
 * Where the store alone brings changes. A connection can fall silent without
 * an end, and changes must be seen within two seconds of one that the store
 * has acknowledged: so watches are held briefly, and a silent one shows soon.
 */
export const PROMPT_STORE_TIMES: StoreTimes = {
  callMs: 1_000,
  watchHoldMs: 3_000,
  watchMarginMs: 800,
};

/**
 * Where peers carry changes too. A watch that fell silent may go unnoticed for
 * longer, and one call in 25 s is an eighth of what brief holds cost.
 */
export const PATIENT_STORE_TIMES: StoreTimes = {
  callMs: 2_000,
  watchHoldMs: 25_000,
  watchMarginMs: 2_000,
};
