/** How long one server may take while another could still be tried. */

/**
 * Share of the time left that a server gets. One that takes requests in and
 * never answers else uses up all the time that its callers have.
 */
const TRY_SHARE = 0.5;
/** The least that a server gets, in objectives: it may be merely slow. */
const LEAST_TRY_OBJECTIVES = 2;
/**
 * The share that is left to the next server even so. A repeat that can't end
 * in time costs a run and serves nobody.
 */
const NEXT_TRY_SHARE = 0.25;

/** Time of a try in milliseconds, of the time left until the deadline. */
export function tryTimeMs(options: {
  readonly leftMs: number;
  readonly objectiveMs: number;
}): number {
  const { leftMs, objectiveMs } = options;
  const leastMs = LEAST_TRY_OBJECTIVES * objectiveMs;
  const mostMs = leftMs * (1 - NEXT_TRY_SHARE);
  return Math.ceil(Math.min(mostMs, Math.max(leastMs, leftMs * TRY_SHARE)));
}
