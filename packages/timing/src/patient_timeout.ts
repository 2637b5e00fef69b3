/**
 * Timeout of a call to another process that leaves out the time in which this
 * process itself was late. Otherwise a process that gets too little processor
 * time takes its own lag for the silence of all that it calls.
 */

import { performance as runtime } from "node:perf_hooks";

/** Delay of a timer that shows that this process was late. */
const LATE_MS = 30;
/**
 * Share of a wait for which the event loop is idle in a process that keeps up.
 * One that is busy all the time reads what arrives late.
 */
const MIN_IDLE_SHARE = 0.2;
/** Extra time, as a multiple of the timeout. */
const MAX_EXTRA_FACTOR = 3;

export interface PatientTimeoutOptions {
  readonly timeoutMs: number;
  /** Aborts the task before its timeout. */
  readonly signal?: AbortSignal | undefined;
  /** Bound on the extra time, in milliseconds. */
  readonly maxExtraMs?: number;
}

const DEFAULT_MAX_EXTRA_MS = 1_000;

/**
 * Runs a task with a signal that is aborted with `options.signal`, or with a
 * `TimeoutError` once the timeout has passed without this process being late,
 * and what has arrived by then is read.
 */
export async function withPatientTimeout<Result>(
  {
    timeoutMs,
    signal,
    maxExtraMs = DEFAULT_MAX_EXTRA_MS,
  }: PatientTimeoutOptions,
  task: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const timeout = new AbortController();
  let extraMs = Math.min(maxExtraMs, MAX_EXTRA_FACTOR * timeoutMs);
  let isOver = false;
  let timer = arm(timeoutMs);

  function arm(durationMs: number): NodeJS.Timeout {
    const dueAt = performance.now() + durationMs;
    const start = runtime.eventLoopUtilization();
    return setTimeout(() => {
      const { idle } = runtime.eventLoopUtilization(start);
      const lateMs = performance.now() - dueAt;
      const keepsUp = lateMs <= LATE_MS && idle >= MIN_IDLE_SHARE * durationMs;
      expire(keepsUp ? 0 : Math.max(lateMs, durationMs));
    }, durationMs);
  }

  function expire(missedMs: number): void {
    const grantedMs = Math.min(missedMs, timeoutMs, extraMs);
    if (grantedMs <= 0) {
      // Timers come before what has arrived while this process was blocked.
      setImmediate(abort);
      return;
    }
    extraMs -= grantedMs;
    timer = arm(grantedMs);
  }

  function abort(): void {
    if (isOver) return;
    const detail = `timed out after ${timeoutMs} ms`;
    timeout.abort(new DOMException(detail, "TimeoutError"));
  }

  try {
    const signals = signal ? [signal, timeout.signal] : [timeout.signal];
    return await task(AbortSignal.any(signals));
  } finally {
    isOver = true;
    clearTimeout(timer);
  }
}
