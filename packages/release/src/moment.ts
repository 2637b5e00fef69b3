/**
 * Points in time by both clocks of the runtime. The monotonic clock may stand
 * still while a machine is suspended, and the wall clock may be set back; the
 * longer of the two spans is taken, so that no pause is overlooked.
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

/** Milliseconds since `moment`, by the clock that counted more. */
export function elapsedMs(moment: Moment): number {
  const monotonic = performance.now() - moment.monotonic;
  return Math.max(monotonic, Date.now() - moment.wall);
}

/** The moment `durationMs` before another. */
export function momentBefore(moment: Moment, durationMs: number): Moment {
  return {
    monotonic: moment.monotonic - durationMs,
    wall: moment.wall - durationMs,
  };
}
