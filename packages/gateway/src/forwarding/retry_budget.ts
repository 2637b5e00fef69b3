/** Limits retries to a share of the requests, over all instances together. */
import { createLogger } from "@rosemarypin/telemetry";
import type { RetryBudgetSettings } from "../settings.ts";

/**
 * Share of the allowance that is used. The margin covers the difference between
 * this window and the one of the limit, which slides and counts requests when
 * they arrive at the backend servers, slightly later.
 */
const USABLE_SHARE = 0.75;
const WINDOW_SLICES = 10;

const log = createLogger("retries");

export interface RetryBudget {
  /** Counts a request of a caller, which adds to the allowance. */
  countRequest(service: string): void;
  /** Takes one retry from the budget; false when none is left. */
  takeRetry(service: string): boolean;
  /** Retries since the start, by service. */
  totals(): ReadonlyMap<string, RetryTotals>;
}

export interface RetryTotals {
  taken: number;
  /** Asked for while none was left. */
  refused: number;
}

interface WindowSlice {
  readonly index: number;
  requests: number;
  retries: number;
  refused: number;
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
  const slicesByService = new Map<string, WindowSlice[]>();
  const totalsByService = new Map<string, RetryTotals>();

  function recentSlicesOf(service: string): WindowSlice[] {
    const oldest = Math.floor(performance.now() / sliceMs) - WINDOW_SLICES;
    const recentSlices = (slicesByService.get(service) ?? []).filter(
      ({ index }) => index > oldest,
    );
    slicesByService.set(service, recentSlices);
    return recentSlices;
  }

  function currentSlice(service: string): WindowSlice {
    const index = Math.floor(performance.now() / sliceMs);
    const last = slicesByService.get(service)?.at(-1);
    if (last?.index === index) return last;
    if (last) logSlice(service, last);
    const slice = { index, requests: 0, retries: 0, refused: 0 };
    recentSlicesOf(service).push(slice);
    return slice;
  }

  function logSlice(service: string, slice: WindowSlice): void {
    if (slice.retries + slice.refused === 0) return;
    const { requests, retries, allowed } = accountOf(service);
    log.info("retries_counted", {
      service,
      taken: slice.retries,
      refused: slice.refused,
      window_retries: retries,
      window_requests: requests,
      allowed: allowed.toFixed(1),
      share: ownShare().toFixed(3),
    });
  }

  function ownShare(): number {
    return 1 / Math.max(1, instanceCount());
  }

  function accountOf(service: string) {
    const slices = recentSlicesOf(service);
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
    const fixedAllowance = settings.slack * ownShare();
    const allowed = USABLE_SHARE * (fixedAllowance + settings.ratio * requests);
    return { requests, retries, allowed };
  }

  function totalsOf(service: string): RetryTotals {
    const totals = totalsByService.get(service) ?? { taken: 0, refused: 0 };
    totalsByService.set(service, totals);
    return totals;
  }

  return {
    countRequest(service) {
      currentSlice(service).requests += 1;
    },
    takeRetry(service) {
      const slice = currentSlice(service);
      const { retries, allowed } = accountOf(service);
      const isTaken = retries + 1 <= allowed;
      if (isTaken) {
        slice.retries += 1;
        totalsOf(service).taken += 1;
      } else {
        slice.refused += 1;
        totalsOf(service).refused += 1;
      }
      return isTaken;
    },
    totals: () => totalsByService,
  };
}
