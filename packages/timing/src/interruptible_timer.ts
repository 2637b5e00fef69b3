/** A delay that can be ended early. */

export interface InterruptibleTimer {
  /** Ends the current wait; does nothing if there is none. */
  interrupt(): void;
  /** Resolves after `timeoutMs`, on `interrupt`, or when `signal` is aborted. */
  wait(timeoutMs: number, signal: AbortSignal): Promise<void>;
}

/** Creates a timer for one waiter at a time. */
export function createInterruptibleTimer(): InterruptibleTimer {
  let end: (() => void) | null = null;

  return {
    interrupt() {
      end?.();
    },
    wait(timeoutMs, signal) {
      return new Promise((resolve) => {
        if (signal.aborted) return resolve();
        const timer = setTimeout(done, timeoutMs);
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
