/**
 * Points in time by both clocks of the runtime. The monotonic clock may stand
 * still while a machine is suspended, and the wall clock may be set either
 * way. Who has to stop in time takes the longer of the two spans, and who has
 * to wait long enough takes the shorter.
 */

/** A point in time on this machine; never sent to another. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/** The present. */
export function readMoment(): Moment {
  return { monotonic: performance.now(), wall: Date.now() };
}

/** Milliseconds since `moment` at most, by the clock that counted more. */
export function elapsedMs(moment: Moment): number {
  const monotonic = performance.now() - moment.monotonic;
  return Math.max(monotonic, Date.now() - moment.wall);
}

/** Milliseconds since `moment` at least, by the clock that counted less. */
export function surelyElapsedMs(moment: Moment): number {
  const monotonic = performance.now() - moment.monotonic;
  return Math.min(monotonic, Date.now() - moment.wall);
}

/** Whether `a` was not after `b`. */
export function isInOrder(a: Moment, b: Moment): boolean {
  return a.monotonic <= b.monotonic;
}

/** The moment `durationMs` before another. */
export function momentBefore(moment: Moment, durationMs: number): Moment {
  return {
    monotonic: moment.monotonic - durationMs,
    wall: moment.wall - durationMs,
  };
}
