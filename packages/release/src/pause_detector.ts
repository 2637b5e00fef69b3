/** Notices that the process did not run for a while. */
import { elapsedMs, readMoment } from "./moment.ts";

const LOOK_EVERY_MS = 100;
/** Longer than what a busy event loop or a collection of garbage takes. */
const PAUSE_MS = 500;

export interface PauseDetector {
  /** Looks now; `onPause` is called before this returns. */
  look(): void;
  stop(): void;
}

/**
 * Creates a detector. A frozen process cannot know it was frozen: when it is
 * thawed, sockets with queued requests may be served before any timer runs.
 * So each point of use looks for itself, and the timer only bounds the gap
 * that ordinary running shows.
 */
export function createPauseDetector(options: {
  readonly onPause: (gapMs: number) => void;
}): PauseDetector {
  let seen = readMoment();
  const timer = setInterval(look, LOOK_EVERY_MS);

  function look(): void {
    const gapMs = elapsedMs(seen);
    seen = readMoment();
    if (gapMs >= PAUSE_MS) options.onPause(gapMs);
  }

  return { look, stop: () => clearInterval(timer) };
}
