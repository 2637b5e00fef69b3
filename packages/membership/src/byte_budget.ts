/** Bounds the traffic that may wait. */

export interface ByteBudget {
  /** Takes `bytes` if they are there; returns whether they were. */
  take(bytes: number): boolean;
  /** Counts bytes that passed anyway; the debt is at most a burst. */
  spend(bytes: number): void;
  /** Bytes that may be taken now; negative while there is a debt. */
  left(): number;
}

/** Creates a budget that fills at a rate, up to `burstBytes`. */
export function createByteBudget(options: {
  /** Fixed, or read at each use. */
  readonly bytesPerSecond: number | (() => number);
  readonly burstBytes: number;
  /** What is there at the start, beyond the burst, and for how long. */
  readonly initial?: { readonly bytes: number; readonly forMs: number };
}): ByteBudget {
  const { bytesPerSecond, burstBytes, initial } = options;
  let left = initial?.bytes ?? burstBytes;
  let filledAt = performance.now();
  const initialUntil = filledAt + (initial?.forMs ?? 0);

  function rate(): number {
    return typeof bytesPerSecond === "number"
      ? bytesPerSecond
      : bytesPerSecond();
  }

  function fill(): void {
    const now = performance.now();
    const filled = ((now - filledAt) / 1_000) * rate();
    const most = now < initialUntil ? Math.max(left, burstBytes) : burstBytes;
    left = Math.min(most, left + filled);
    filledAt = now;
  }

  return {
    take(bytes) {
      fill();
      if (left < bytes) return false;
      left -= bytes;
      return true;
    },
    spend(bytes) {
      fill();
      left = Math.max(-burstBytes, left - bytes);
    },
    left() {
      fill();
      return left;
    },
  };
}
