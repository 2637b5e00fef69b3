/** Measures retries against a limit in sliding windows. */

export interface RetryStep {
  readonly requests: number;
  readonly retries: number;
}

/**
 * Most retries beyond the limit in any window of `length` steps; negative within
 * it. The requests are those of that window, of the one before it or of the one
 * half a window before it, whichever has most.
 */
export function mostRetriesBeyond(
  { slack, ratio }: { readonly slack: number; readonly ratio: number },
  steps: readonly RetryStep[],
  length: number,
): number {
  const sum = (from: number, key: keyof RetryStep) =>
    steps
      .slice(Math.max(0, from), Math.max(0, from + length))
      .reduce((total, step) => total + step[key], 0);
  return Math.max(
    ...steps.map((_, from) => {
      const requests = [0, length / 2, length].map((earlier) =>
        sum(from - earlier, "requests"),
      );
      const allowed = slack + ratio * Math.max(...requests);
      return sum(from, "retries") - allowed;
    }),
  );
}
