/** Delays requests while a newly started instance first reads the store. */
import { pause } from "@rosemarypin/timing";

/**
 * Maximum time after the start for which requests wait. The first read of the
 * store takes some tens of milliseconds, while a caller that is refused in that
 * time retries only a second later.
 */
const MAX_WAIT_MS = 400;
const POLL_INTERVAL_MS = 10;

/** Resolves once the instance is warm or the maximum wait is over. */
export type WarmUp = () => Promise<void>;

/** Creates the warm-up of an instance that starts now. */
export function createWarmUp(isWarm: () => boolean): WarmUp {
  const waitEndsAt = performance.now() + MAX_WAIT_MS;
  return async () => {
    while (!isWarm() && performance.now() < waitEndsAt)
      await pause(POLL_INTERVAL_MS);
  };
}
