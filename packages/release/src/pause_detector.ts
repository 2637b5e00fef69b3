/** Detects that the process was suspended. */
import { elapsedMs, readMoment } from "./moment.ts";

const CHECK_INTERVAL_MS = 100;
/** Longer than a busy event loop or a garbage collection blocks timers. */
const MIN_PAUSE_MS = 500;

export interface PauseDetector {
  /** Checks for a pause now; calls `onPause` before it returns. */
  check(): void;
  stop(): void;
}

/**
 * Creates a detector, which measures the time between two checks. When a frozen
 * process resumes, queued requests may be served before any timer runs, so code
 * that must not miss a pause calls `check` itself. The timer keeps the time
 * between checks short while the process runs.
 */
export function createPauseDetector(options: {
  readonly onPause: (gapMs: number) => void;
}): PauseDetector {
  let lastCheckAt = readMoment();
  const timer = setInterval(check, CHECK_INTERVAL_MS);

  function check(): void {
    const gapMs = elapsedMs(lastCheckAt);
    lastCheckAt = readMoment();
    if (gapMs >= MIN_PAUSE_MS) options.onPause(gapMs);
  }

  return { check, stop: () => clearInterval(timer) };
}
