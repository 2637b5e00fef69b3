/**
 * Points in time read from the monotonic clock and the wall clock. The
 * monotonic clock may stop while the machine is suspended, and the wall clock
 * may be set forward or back. `elapsedMs` returns the longer of the two spans,
 * for deadlines that must not be exceeded, and `surelyElapsedMs` the shorter,
 * for waiting times that must have passed in full.
 */

/** A point in time on this machine; never sent to another. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/** Reads both clocks now. */
export function readMoment(): Moment {
  return { monotonic: performance.now(), wall: Date.now() };
}

/** Upper bound of the milliseconds since `moment`: the longer span. */
export function elapsedMs(moment: Moment): number {
  const monotonic = performance.now() - moment.monotonic;
  return Math.max(monotonic, Date.now() - moment.wall);
}

/** Lower bound of the milliseconds since `moment`: the shorter span. */
export function surelyElapsedMs(moment: Moment): number {
  const monotonic = performance.now() - moment.monotonic;
  return Math.min(monotonic, Date.now() - moment.wall);
}

/** Whether `a` is not after `b`, by the monotonic clock. */
export function isInOrder(a: Moment, b: Moment): boolean {
  return a.monotonic <= b.monotonic;
}

/** Returns the point in time `durationMs` before `moment`. */
export function momentBefore(moment: Moment, durationMs: number): Moment {
  return {
    monotonic: moment.monotonic - durationMs,
    wall: moment.wall - durationMs,
  };
}
