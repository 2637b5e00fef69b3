/** Limits the rate of traffic that can be deferred (a token bucket). */

export interface ByteBudget {
  /** Consumes `bytes` if available; returns whether they were. */
  take(bytes: number): boolean;
}

/** Creates a budget that refills at a constant rate, up to `burstBytes`. */
export function createByteBudget(options: {
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
  /** Initial budget, which may exceed the burst for `forMs`. */
  readonly initial?: { readonly bytes: number; readonly forMs: number };
}): ByteBudget {
  const { burstBytes, initial } = options;
  let availableBytes = initial?.bytes ?? burstBytes;
  let refilledAt = performance.now();
  const initialUntil = refilledAt + (initial?.forMs ?? 0);
  return {
    take(bytes) {
      const now = performance.now();
      const refillBytes = ((now - refilledAt) / 1_000) * options.bytesPerSecond;
      const capacityBytes =
        now < initialUntil ? Math.max(availableBytes, burstBytes) : burstBytes;
      availableBytes = Math.min(capacityBytes, availableBytes + refillBytes);
      refilledAt = now;
      if (availableBytes < bytes) return false;
      availableBytes -= bytes;
      return true;
    },
  };
}
