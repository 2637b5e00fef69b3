/** Lets time pass on a clock that a test has put in the runtime's place. */

/** Taken before any test replaces it: promises settle while it runs. */
const realImmediate = setImmediate;

/** Moves the clock from timer to timer until the promise has settled. */
export async function untilSettled<T>(
  promise: Promise<T>,
  nextTimer: () => void,
): Promise<T> {
  let isSettled = false;
  const settle = () => {
    isSettled = true;
  };
  promise.then(settle, settle);
  while (!isSettled) {
    nextTimer();
    await new Promise((done) => realImmediate(done));
  }
  return promise;
}

/** What a test has to fake: all but what lets promises settle. */
export const VIRTUAL_TIMERS = [
  "setTimeout",
  "clearTimeout",
  "setInterval",
  "clearInterval",
  "Date",
  "performance",
] as const;
