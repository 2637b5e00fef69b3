/** The most instances that were listed in the last minute or so. */

export interface GreatestCount {
  /** Records the number of instances listed now. */
  observe(count: number): void;
  /** The most that were observed within the hold; 0 without any. */
  value(): number;
}

interface ObservedCount {
  readonly from: number;
  readonly count: number;
}

/**
 * Creates the count of an instance that knows none yet; each count holds until
 * the next one and for `holdMs` after it.
 */
export function createGreatestCount(holdMs: number): GreatestCount {
  /** Each holds until the next one. */
  let counts: ObservedCount[] = [];

  function forget(): void {
    const heldFrom = performance.now() - holdMs;
    const firstHeld = counts.findIndex(({ from }) => from > heldFrom);
    const last = firstHeld === -1 ? counts.length : firstHeld;
    counts = counts.slice(Math.max(0, last - 1));
  }

  return {
    observe(count) {
      if (counts.at(-1)?.count !== count)
        counts.push({ from: performance.now(), count });
      forget();
    },
    value() {
      forget();
      return Math.max(0, ...counts.map(({ count }) => count));
    },
  };
}
