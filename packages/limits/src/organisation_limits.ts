/** Holds organisations to limits that are shared by all instances. */
import { pause } from "@rosemarypin/timing";
import type { LimitReport, LimitVerdicts, Usage } from "./limit_report.ts";
import type { LimitsOf } from "./limits_of.ts";

/** A report costs about 650 bytes with HTTP's headers, both ways. */
const REPORTS_PER_SECOND = 0.15;
const REPORTS_AT_ONCE = 3;
const LOOK_MS = 1_000;
/** A verdict that was not renewed for so long counts no more. */
const VERDICT_MS = 60_000;
/** The same, in intervals of the home, when that is longer. */
const VERDICT_INTERVALS = 3;
const LONGEST_RETRY_SECONDS = 30;

export type Admission =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly retryAfterSeconds: number };

/** Where reports go. */
export interface LimitHomes {
  /** Id of the instance that judges the organisation. */
  homeOf(organisation: string): string;
  /** Whether that is this instance, so that a report costs nothing. */
  isSelf(home: string): boolean;
  /** Resolves to `null` when the home cannot be reached. */
  report(home: string, report: LimitReport): Promise<LimitVerdicts | null>;
}

/** The limits of all organisations, as one instance applies them. */
export interface SharedLimits {
  /** Counts a request and says whether it may go on; answers at once. */
  admit(organisation: string, options: { readonly tokens: number }): Admission;
  stop(): void;
}

interface Known {
  /** Asked for since the last report. */
  requests: number;
  tokens: number;
  share: number;
  /** `performance.now()` after which the share counts no more. */
  until: number;
  /** Part of a request that may go on; from one on, the next one does. */
  credit: number;
}

/**
 * Starts to report, within a budget, the heaviest use first.
 *
 * Requests of one organisation are spread over all instances, so none of them
 * sees its rate. Each organisation has a home, chosen by hashing, that sums
 * the reports and answers with the share that may go on. Nothing is counted
 * twice or dropped: what was not reported is reported later. An organisation
 * beyond its limits is among the heaviest everywhere, so its reports are not
 * what waits.
 *
 * A home that cannot be reached judges nothing, and the limits do not hold
 * until another one has taken its place: they protect shares of the capacity,
 * which the fair queue does too, and no promise hangs on them.
 */
export function createSharedLimits(options: {
  readonly limitsOf: LimitsOf;
  readonly homes: LimitHomes;
}): SharedLimits {
  const { homes } = options;
  const known = new Map<string, Known>();
  const stopped = new AbortController();
  /** `performance.now()` before which a home wants no report. */
  const notBefore = new Map<string, number>();
  let reportsLeft = REPORTS_AT_ONCE;

  function find(organisation: string): Known {
    const fresh = { requests: 0, tokens: 0, share: 1, until: 0, credit: 0 };
    const found = known.get(organisation) ?? fresh;
    known.set(organisation, found);
    return found;
  }

  async function reportNow(): Promise<void> {
    for (const [home, at] of notBefore) {
      if (at < performance.now()) notBefore.delete(home);
    }
    const earned = reportsLeft + (REPORTS_PER_SECOND * LOOK_MS) / 1_000;
    reportsLeft = Math.min(REPORTS_AT_ONCE, earned);
    const byHome = groupByHome();
    const heaviestFirst = [...byHome].sort(
      ([, a], [, b]) => weightOf(b) - weightOf(a),
    );
    const sent: Promise<void>[] = [];
    for (const [home, usages] of heaviestFirst) {
      if (performance.now() < (notBefore.get(home) ?? 0)) continue;
      const cost = homes.isSelf(home) ? 0 : 1;
      if (cost > reportsLeft) continue;
      reportsLeft -= cost;
      sent.push(send(home, usages));
    }
    await Promise.all(sent);
  }

  function groupByHome(): Map<string, Usage[]> {
    const byHome = new Map<string, Usage[]>();
    for (const [organisation, { requests, tokens, until }] of known) {
      if (requests === 0) {
        if (until < performance.now()) known.delete(organisation);
        continue;
      }
      const home = homes.homeOf(organisation);
      const usages = byHome.get(home) ?? [];
      usages.push({ organisation, requests, tokens });
      byHome.set(home, usages);
    }
    return byHome;
  }

  async function send(home: string, usages: readonly Usage[]): Promise<void> {
    for (const usage of usages) add(usage, -1);
    const answer = await homes.report(home, { usages: [...usages] });
    if (!answer) {
      for (const usage of usages) add(usage, 1);
      return;
    }
    const now = performance.now();
    const { nextAfterMs } = answer;
    if (!homes.isSelf(home)) notBefore.set(home, now + jittered(nextAfterMs));
    const validMs = Math.max(VERDICT_MS, VERDICT_INTERVALS * nextAfterMs);
    for (const { organisation, share } of answer.verdicts) {
      const found = find(organisation);
      found.share = share;
      found.until = now + validMs;
    }
  }

  function add({ organisation, requests, tokens }: Usage, sign: 1 | -1): void {
    const found = find(organisation);
    found.requests += sign * requests;
    found.tokens += sign * tokens;
  }

  /** The heaviest relative to its limits decides for all of its home. */
  function weightOf(usages: readonly Usage[]): number {
    return Math.max(...usages.map(relativeUse));
  }

  function relativeUse({ organisation, requests, tokens }: Usage): number {
    const limits = options.limitsOf(organisation);
    return Math.max(
      requests / (limits?.requestsPerSecond ?? Number.POSITIVE_INFINITY),
      tokens / (limits?.tokensPerSecond ?? Number.POSITIVE_INFINITY),
    );
  }

  async function run(): Promise<void> {
    while (!stopped.signal.aborted) {
      await pause(LOOK_MS, stopped.signal);
      await reportNow();
    }
  }

  void run();
  return {
    admit(organisation, { tokens }) {
      if (!options.limitsOf(organisation)) return { kind: "admitted" };
      const found = find(organisation);
      found.requests += 1;
      found.tokens += tokens;
      const share = performance.now() < found.until ? found.share : 1;
      found.credit = Math.min(2, found.credit + share);
      if (found.credit < 1) return refuse(share);
      found.credit -= 1;
      return { kind: "admitted" };
    },
    stop: () => stopped.abort(),
  };
}

/** Instances that began together would else go on reporting together. */
function jittered(durationMs: number): number {
  return durationMs * (0.5 + Math.random());
}

/** After about so many seconds a caller's turn comes at its present rate. */
function refuse(share: number): Admission {
  const seconds = share > 0 ? Math.ceil(1 / share) : LONGEST_RETRY_SECONDS;
  const retryAfterSeconds = Math.min(LONGEST_RETRY_SECONDS, seconds);
  return { kind: "refused", retryAfterSeconds };
}
