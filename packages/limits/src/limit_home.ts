/** Sums the use of limits for the organisations of one home. */
import type { LimitReport, LimitVerdicts, Verdict } from "./limit_report.ts";
import type { LimitsOf } from "./limits_of.ts";
import { createReportInterval } from "./report_interval.ts";

/**
 * Time over which use is averaged, in milliseconds. Shorter than this, an
 * organisation may exceed its limits, so it is the burst that they allow.
 */
export const AVERAGE_MS = 20_000;
/** Use that has decayed to nothing is forgotten after this. */
const FORGET_MS = 10 * AVERAGE_MS;

/** The instance that judges an organisation's use over all instances. */
export interface LimitHome {
  /** Adds what an instance was asked for, and says how much may go on. */
  report(report: LimitReport): LimitVerdicts;
}

interface Use {
  requestsPerSecond: number;
  tokensPerSecond: number;
  at: number;
}

/**
 * Creates a home. Use decays exponentially, so an organisation costs three
 * numbers however many instances report it. A home that has just taken over
 * knows of no use: limits are exceeded until it has heard about one average.
 */
export function createLimitHome(options: {
  readonly limitsOf: LimitsOf;
}): LimitHome {
  const uses = new Map<string, Use>();
  const interval = createReportInterval();
  let sweptAt = performance.now();

  function decay(organisation: string): Use {
    const now = performance.now();
    const use = uses.get(organisation) ?? {
      requestsPerSecond: 0,
      tokensPerSecond: 0,
      at: now,
    };
    const factor = Math.exp((use.at - now) / AVERAGE_MS);
    use.requestsPerSecond *= factor;
    use.tokensPerSecond *= factor;
    use.at = now;
    uses.set(organisation, use);
    return use;
  }

  function judge(organisation: string, use: Use): Verdict {
    const limits = options.limitsOf(organisation);
    const share = Math.min(
      shareOf(limits?.requestsPerSecond, use.requestsPerSecond),
      shareOf(limits?.tokensPerSecond, use.tokensPerSecond),
    );
    return { organisation, share };
  }

  function sweep(): void {
    const now = performance.now();
    if (now - sweptAt < FORGET_MS) return;
    sweptAt = now;
    for (const [organisation, { at }] of uses) {
      if (now - at > FORGET_MS) uses.delete(organisation);
    }
  }

  return {
    report({ usages }) {
      sweep();
      const seconds = AVERAGE_MS / 1_000;
      const verdicts = usages.map(({ organisation, requests, tokens }) => {
        const use = decay(organisation);
        use.requestsPerSecond += requests / seconds;
        use.tokensPerSecond += tokens / seconds;
        return judge(organisation, use);
      });
      return { verdicts, nextAfterMs: interval.next() };
    },
  };
}

function shareOf(limit: number | undefined, used: number): number {
  return limit === undefined || used <= limit ? 1 : limit / used;
}
