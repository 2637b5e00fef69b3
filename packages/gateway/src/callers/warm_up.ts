/** Lets callers wait while an instance that has just started reads the store. */
import { pause } from "@rosemarypin/timing";

/**
 * How long after the start callers wait at most, in milliseconds. The first
 * reading takes some tens of them; a caller that is refused in that time comes
 * back a second later.
 */
const LONGEST_WAIT_MS = 400;
const LOOK_EVERY_MS = 10;

/** Resolves once the instance knows what it needs, or after a while. */
export type WarmUp = () => Promise<void>;

/** Creates the wait of an instance that starts now. */
export function createWarmUp(isWarm: () => boolean): WarmUp {
  const until = performance.now() + LONGEST_WAIT_MS;
  return async () => {
    while (!isWarm() && performance.now() < until) await pause(LOOK_EVERY_MS);
  };
}
