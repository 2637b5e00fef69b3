/** Bounds repeats to a share of the requests, over all instances together. */
import type { RetryBudgetSettings } from "../settings.ts";

/**
 * Part of the allowance that is used. Windows of the bound slide, and counts
 * are taken where requests arrive, a little later than here.
 */
const USED_SHARE = 0.75;
/** Slices of the window in which counts are kept. */
const SLICES = 10;

export interface RetryBudget {
  /** Counts a request that a caller sent. */
  countRequest(service: string): void;
  /** Takes one repeat, or tells that none is left. */
  take(service: string): boolean;
}

interface Slice {
  readonly index: number;
  requests: number;
  repeats: number;
}

/**
 * Creates the budget of one instance. Each takes its part of the fixed
 * allowance, and a share of the requests that it saw itself, so that the sum
 * keeps the bound without any talk among instances.
 */
export function createRetryBudget(
  settings: RetryBudgetSettings,
  instanceCount: () => number,
): RetryBudget {
  const sliceMs = settings.windowMs / SLICES;
  const services = new Map<string, Slice[]>();

  function slicesOf(service: string): Slice[] {
    const oldest = Math.floor(performance.now() / sliceMs) - SLICES;
    const kept = (services.get(service) ?? []).filter(
      ({ index }) => index > oldest,
    );
    services.set(service, kept);
    return kept;
  }

  function currentOf(slices: Slice[]): Slice {
    const index = Math.floor(performance.now() / sliceMs);
    const last = slices.at(-1);
    if (last?.index === index) return last;
    const slice = { index, requests: 0, repeats: 0 };
    slices.push(slice);
    return slice;
  }

  return {
    countRequest(service) {
      currentOf(slicesOf(service)).requests += 1;
    },
    take(service) {
      const slices = slicesOf(service);
      const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
      const repeats = slices.reduce((sum, slice) => sum + slice.repeats, 0);
      const fixed = settings.slack / Math.max(1, instanceCount());
      const allowed = USED_SHARE * (fixed + settings.ratio * requests);
      if (repeats + 1 > allowed) return false;
      currentOf(slices).repeats += 1;
      return true;
    },
  };
}
