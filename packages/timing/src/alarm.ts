/** A delay that can be ended early. */

export interface InterruptibleTimer {
  /** Ends the current wait; does nothing if there is none. */
  interrupt(): void;
  /** Resolves after `longestMs`, on `ring`, or when the signal is aborted. */
  wait(longestMs: number, signal: AbortSignal): Promise<void>;
}

/** Creates an alarm for one waiter at a time. */
export function createInterruptibleTimer(): InterruptibleTimer {
  let end: (() => void) | null = null;

  return {
    interrupt() {
      end?.();
    },
    wait(longestMs, signal) {
      return new Promise((resolve) => {
        if (signal.aborted) return resolve();
        const timer = setTimeout(done, longestMs);
        signal.addEventListener("abort", done, { once: true });
        end = done;
        function done(): void {
          end = null;
          clearTimeout(timer);
          signal.removeEventListener("abort", done);
          resolve();
        }
      });
    },
  };
}
