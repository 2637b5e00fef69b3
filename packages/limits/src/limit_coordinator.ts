/** Sums the usage of organisations over all instances. */
import type { LimitReport, LimitVerdicts, Verdict } from "./limit_report.ts";
import type { LimitsOf } from "./limits_lookup.ts";
import { createReportInterval } from "./report_interval.ts";

/**
 * Time constant of the average usage, in milliseconds. Limits may be exceeded
 * for shorter than this, so it determines the size of a burst.
 */
export const AVERAGING_TIME_MS = 20_000;
/** Entries without reports for this long are removed. */
const IDLE_TTL_MS = 10 * AVERAGING_TIME_MS;

/** Coordinator of the limits of some organisations. */
export interface LimitCoordinator {
  /** Adds an instance's usage; returns the shares that may be admitted. */
  report(report: LimitReport): LimitVerdicts;
}

interface AverageRate {
  requestsPerSecond: number;
  tokensPerSecond: number;
  updatedAt: number;
}

/**
 * Creates a coordinator without usage. Usage decays exponentially, so an
 * organisation is stored as three numbers, regardless of how many instances
 * report it. After a change of coordinator, limits may be exceeded until the
 * new one has received reports for about the averaging time.
 */
export function createLimitCoordinator(options: {
  readonly limitsOf: LimitsOf;
}): LimitCoordinator {
  const averageRates = new Map<string, AverageRate>();
  const interval = createReportInterval();
  let sweptAt = performance.now();

  function decayedRate(organisation: string): AverageRate {
    const now = performance.now();
    const rate = averageRates.get(organisation) ?? {
      requestsPerSecond: 0,
      tokensPerSecond: 0,
      updatedAt: now,
    };
    const factor = Math.exp((rate.updatedAt - now) / AVERAGING_TIME_MS);
    rate.requestsPerSecond *= factor;
    rate.tokensPerSecond *= factor;
    rate.updatedAt = now;
    averageRates.set(organisation, rate);
    return rate;
  }

  function createVerdict(organisation: string, rate: AverageRate): Verdict {
    const limits = options.limitsOf(organisation);
    const share = Math.min(
      shareOf(limits?.requestsPerSecond, rate.requestsPerSecond),
      shareOf(limits?.tokensPerSecond, rate.tokensPerSecond),
    );
    return { organisation, share };
  }

  function removeIdle(): void {
    const now = performance.now();
    if (now - sweptAt < IDLE_TTL_MS) return;
    sweptAt = now;
    for (const [organisation, { updatedAt }] of averageRates) {
      if (now - updatedAt > IDLE_TTL_MS) averageRates.delete(organisation);
    }
  }

  return {
    report({ usages }) {
      removeIdle();
      const seconds = AVERAGING_TIME_MS / 1_000;
      const verdicts = usages.map(({ organisation, requests, tokens }) => {
        const rate = decayedRate(organisation);
        rate.requestsPerSecond += requests / seconds;
        rate.tokensPerSecond += tokens / seconds;
        return createVerdict(organisation, rate);
      });
      return { verdicts, nextAfterMs: interval.next() };
    },
  };
}

function shareOf(limit: number | undefined, used: number): number {
  return limit === undefined || used <= limit ? 1 : limit / used;
}
