/** The retries that a call takes from the budget of its service. */
import type { Retry, RetryBudget } from "@rosemarypin/limits";

export interface CallRetries {
  /** Takes a retry for the present run; returns whether there is one. */
  take(): boolean;
  /** Takes a retry for the run after the present one. */
  reserve(): boolean;
  /** Counts that of the present run as sent. */
  send(): void;
  /** Counts the reserved one as sent. */
  sendReserved(): void;
  /** The present run has arrived, so that its retry is used. */
  use(): void;
  /** The same of the run after it. */
  useReserved(): void;
  /** The run after the present one takes its place. */
  follow(): void;
  release(): void;
  releaseReserved(): void;
}

/** Creates the retries of a call, of which none is taken. */
export function createCallRetries(
  budget: RetryBudget,
  service: string,
): CallRetries {
  /** Taken from the budget, and not known to have arrived so far. */
  let retry: Retry | null = null;
  /** Taken for the run after the present one. */
  let spareRetry: Retry | null = null;

  return {
    take() {
      retry ??= spareRetry ?? budget.takeRetry(service);
      spareRetry = null;
      return retry !== null;
    },
    reserve() {
      spareRetry ??= budget.takeRetry(service);
      return spareRetry !== null;
    },
    send: () => retry?.send(),
    sendReserved: () => spareRetry?.send(),
    use() {
      retry = null;
    },
    useReserved() {
      spareRetry = null;
    },
    follow() {
      retry = spareRetry;
      spareRetry = null;
    },
    release() {
      retry?.release();
      retry = null;
    },
    releaseReserved() {
      spareRetry?.release();
      spareRetry = null;
    },
  };
}
