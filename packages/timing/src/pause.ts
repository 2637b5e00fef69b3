/** Cancellable delay, based on `setTimeout` so that tests can fake it. */

/** Resolves after `durationMs`, or as soon as the signal is aborted. */
export function pause(durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const timer = setTimeout(done, durationMs);
    signal?.addEventListener("abort", done, { once: true });
    function done(): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", done);
      resolve();
    }
  });
}
