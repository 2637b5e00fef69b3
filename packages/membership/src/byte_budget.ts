/** Bounds the traffic that may wait. */

export interface ByteBudget {
  /** Takes `bytes` if they are there; returns whether they were. */
  take(bytes: number): boolean;
}

/** Creates a budget that fills at a rate, up to `burstBytes`. */
export function createByteBudget(options: {
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
  /** What is there at the start, beyond the burst, and for how long. */
  readonly initial?: { readonly bytes: number; readonly forMs: number };
}): ByteBudget {
  const { burstBytes, initial } = options;
  let left = initial?.bytes ?? burstBytes;
  let filledAt = performance.now();
  const initialUntil = filledAt + (initial?.forMs ?? 0);
  return {
    take(bytes) {
      const now = performance.now();
      const filled = ((now - filledAt) / 1_000) * options.bytesPerSecond;
      const most = now < initialUntil ? Math.max(left, burstBytes) : burstBytes;
      left = Math.min(most, left + filled);
      filledAt = now;
      if (left < bytes) return false;
      left -= bytes;
      return true;
    },
  };
}
