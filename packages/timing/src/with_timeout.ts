/** Timeout of a task, based on `setTimeout` so that tests can fake it. */

export interface TimeoutOptions {
  readonly timeoutMs: number;
  /** Aborts the task before its timeout. */
  readonly signal: AbortSignal;
  /**
   * Asked at the timeout, and again until it returns `true`: only then is the
   * task aborted. Left out, it is aborted at the timeout.
   */
  readonly mayAbort?: () => boolean;
}

/** Pause after `mayAbort` has returned `false`. */
const ASK_AGAIN_MS = 100;

/**
 * Runs a task with a signal that is aborted with `options.signal`, or with a
 * `TimeoutError` after the timeout. The task decides what it does then.
 */
export async function withTimeout<Result>(
  { timeoutMs, signal, mayAbort = () => true }: TimeoutOptions,
  task: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  // `AbortSignal.timeout` can't be used here: a signal that is only a source of
  // `AbortSignal.any` may be collected as garbage before it fires.
  const timeout = new AbortController();
  let timer = setTimeout(abortIfAllowed, timeoutMs);
  function abortIfAllowed(): void {
    if (!mayAbort()) {
      timer = setTimeout(abortIfAllowed, ASK_AGAIN_MS);
      return;
    }
    const detail = `timed out after ${timeoutMs} ms`;
    timeout.abort(new DOMException(detail, "TimeoutError"));
  }
  try {
    return await task(AbortSignal.any([signal, timeout.signal]));
  } finally {
    clearTimeout(timer);
  }
}
