/** Limits retries to a share of the requests, over all instances together. */
import type { RetryBudgetSettings } from "../settings.ts";

/**
 * Share of the allowance that is used. The margin covers the difference between
 * this window and the one of the limit, which slides and counts requests when
 * they arrive at the backend servers, slightly later.
 */
const USABLE_SHARE = 0.75;
const WINDOW_SLICES = 10;

export interface RetryBudget {
  /** Counts a request of a caller, which adds to the allowance. */
  countRequest(service: string): void;
  /** Takes one retry from the budget; false when none is left. */
  takeRetry(service: string): boolean;
}

interface WindowSlice {
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * Creates the budget of one instance: an equal part of the fixed allowance and
 * a share of the requests that it received itself. The sum over all instances
 * stays within the limit without communication between them.
 */
export function createRetryBudget(
  settings: RetryBudgetSettings,
  instanceCount: () => number,
): RetryBudget {
  const sliceMs = settings.windowMs / WINDOW_SLICES;
  const services = new Map<string, WindowSlice[]>();

  function recentSlicesOf(service: string): WindowSlice[] {
    const oldest = Math.floor(performance.now() / sliceMs) - WINDOW_SLICES;
    const recentSlices = (services.get(service) ?? []).filter(
      ({ index }) => index > oldest,
    );
    services.set(service, recentSlices);
    return recentSlices;
  }

  function currentSlice(slices: WindowSlice[]): WindowSlice {
    const index = Math.floor(performance.now() / sliceMs);
    const last = slices.at(-1);
    if (last?.index === index) return last;
    const slice = { index, requests: 0, retries: 0 };
    slices.push(slice);
    return slice;
  }

  return {
    countRequest(service) {
      currentSlice(recentSlicesOf(service)).requests += 1;
    },
    takeRetry(service) {
      const slices = recentSlicesOf(service);
      const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
      const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
      const fixedAllowance = settings.slack / Math.max(1, instanceCount());
      const allowed =
        USABLE_SHARE * (fixedAllowance + settings.ratio * requests);
      if (retries + 1 > allowed) return false;
      currentSlice(slices).retries += 1;
      return true;
    },
  };
}
