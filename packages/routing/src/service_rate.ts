/**
 * How fast waiting work is taken up, learned from what was taken up while
 * something waited. It turns work ahead into a predicted wait.
 */

/** Time over which old observations fade, in milliseconds. */
const FADE_MS = 2_000;

/** Rate of one model's engines as this instance sees them. */
export interface ServiceRate {
  /** Something began to wait, after a time in which nothing did. */
  waitBegan(): void;
  /** Work was granted; `waiting` says whether more was waiting. */
  granted(cost: number, options: { readonly waiting: boolean }): void;
  /** Predicted time in milliseconds until `work` is taken up. */
  predictMs(work: number): number;
}

/** Creates a rate about which nothing is known: no wait is predicted. */
export function createServiceRate(): ServiceRate {
  let costSum = 0;
  let timeSumMs = 0;
  let lastAt: number | null = null;

  return {
    waitBegan() {
      lastAt ??= performance.now();
    },
    granted(cost, { waiting }) {
      const now = performance.now();
      if (lastAt !== null) {
        const passedMs = now - lastAt;
        const keep = Math.exp(-passedMs / FADE_MS);
        costSum = costSum * keep + cost;
        timeSumMs = timeSumMs * keep + passedMs;
      }
      // Time in which nothing waited tells how much came, not how much the
      // engines could take.
      lastAt = waiting ? now : null;
    },
    predictMs(work) {
      if (costSum === 0 || timeSumMs === 0) return 0;
      return (work * timeSumMs) / costSum;
    },
  };
}
