/** Enforces limits of organisations that are shared by all instances. */
import { pause } from "@rosemarypin/timing";
import type { LimitReport, LimitVerdicts, Usage } from "./limit_report.ts";
import type { LimitsOf } from "./limits_lookup.ts";

/** Report budget; a report takes about 650 bytes both ways, with headers. */
const REPORTS_PER_SECOND = 0.15;
const REPORT_BURST = 3;
const REPORT_INTERVAL_MS = 1_000;
/**
 * The same until the first report: a process that starts knows no verdict, and
 * admits all that the one before it refused.
 */
const START_INTERVAL_MS = 100;
/** Minimum validity of a verdict that is not renewed. */
const MIN_VERDICT_TTL_MS = 60_000;
/** Validity of a verdict in report intervals, if that is longer. */
const VERDICT_INTERVALS = 3;
const MAX_RETRY_SECONDS = 30;

export type Admission =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly retryAfterSeconds: number };

/** Locates coordinators and sends reports to them. */
export interface LimitCoordinators {
  /** Id of the instance that coordinates the organisation's limits. */
  coordinatorOf(organisation: string): string;
  /** Whether the id is this instance's; a report to itself costs nothing. */
  isSelf(coordinator: string): boolean;
  /** Resolves to `null` when the coordinator cannot be reached. */
  report(
    coordinator: string,
    report: LimitReport,
  ): Promise<LimitVerdicts | null>;
}

/** The limits of all organisations, as applied by one instance. */
export interface SharedLimits {
  /** Counts a request and decides on it without waiting for a report. */
  admit(organisation: string, options: { readonly tokens: number }): Admission;
  stop(): void;
}

interface OrganisationState {
  /** Requests received since the last report. */
  requests: number;
  tokens: number;
  share: number;
  /** Time by `performance.now()` at which the share expires. */
  shareExpiresAt: number;
  /** Sum of the shares of requests; an admitted request takes 1 from it. */
  credit: number;
}

/**
 * Starts to report usage within a budget, the heaviest usage first.
 *
 * Requests of an organisation are spread over all instances, so no single
 * instance sees its total rate. Each organisation has a coordinator, an
 * instance chosen by hashing, that sums the reports and responds with the share
 * that may be admitted. Usage that was not reported is kept for a later report.
 * An organisation beyond its limits is among the heaviest on every instance, so
 * its reports are not the ones that are delayed.
 *
 * While a coordinator cannot be reached, its limits are not enforced once the
 * last verdicts expire, until another instance replaces it. This is acceptable
 * because limits only protect shares of the capacity, which the fair queue
 * protects too.
 */
export function createSharedLimits(options: {
  readonly limitsOf: LimitsOf;
  readonly coordinators: LimitCoordinators;
}): SharedLimits {
  const { coordinators } = options;
  const organisations = new Map<string, OrganisationState>();
  const stopped = new AbortController();
  /** Earliest next report per coordinator, by `performance.now()`. */
  const nextReportAt = new Map<string, number>();
  let reportsLeft = REPORT_BURST;
  let hasReported = false;

  function stateOf(organisation: string): OrganisationState {
    const initial = {
      requests: 0,
      tokens: 0,
      share: 1,
      shareExpiresAt: 0,
      credit: 0,
    };
    const state = organisations.get(organisation) ?? initial;
    organisations.set(organisation, state);
    return state;
  }

  async function sendReports(): Promise<void> {
    for (const [coordinator, reportAt] of nextReportAt) {
      if (reportAt < performance.now()) nextReportAt.delete(coordinator);
    }
    const accrued = reportsLeft + (REPORTS_PER_SECOND * intervalMs()) / 1_000;
    reportsLeft = Math.min(REPORT_BURST, accrued);
    const usagesByCoordinator = groupByCoordinator();
    const heaviestFirst = [...usagesByCoordinator].sort(
      ([, a], [, b]) => maxRelativeUsage(b) - maxRelativeUsage(a),
    );
    const sent: Promise<void>[] = [];
    for (const [coordinator, usages] of heaviestFirst) {
      if (performance.now() < (nextReportAt.get(coordinator) ?? 0)) continue;
      const cost = coordinators.isSelf(coordinator) ? 0 : 1;
      if (cost > reportsLeft) continue;
      reportsLeft -= cost;
      sent.push(sendReport(coordinator, usages));
    }
    await Promise.all(sent);
  }

  function groupByCoordinator(): Map<string, Usage[]> {
    const usagesByCoordinator = new Map<string, Usage[]>();
    for (const [
      organisation,
      { requests, tokens, shareExpiresAt },
    ] of organisations) {
      if (requests === 0) {
        if (shareExpiresAt < performance.now())
          organisations.delete(organisation);
        continue;
      }
      const coordinator = coordinators.coordinatorOf(organisation);
      const usages = usagesByCoordinator.get(coordinator) ?? [];
      usages.push({ organisation, requests, tokens });
      usagesByCoordinator.set(coordinator, usages);
    }
    return usagesByCoordinator;
  }

  async function sendReport(
    coordinator: string,
    usages: readonly Usage[],
  ): Promise<void> {
    for (const usage of usages) addUsage(usage, -1);
    hasReported = true;
    const answer = await coordinators.report(coordinator, {
      usages: [...usages],
    });
    if (!answer) {
      for (const usage of usages) addUsage(usage, 1);
      return;
    }
    const now = performance.now();
    const { nextAfterMs } = answer;
    if (!coordinators.isSelf(coordinator))
      nextReportAt.set(coordinator, now + jittered(nextAfterMs));
    const ttlMs = Math.max(MIN_VERDICT_TTL_MS, VERDICT_INTERVALS * nextAfterMs);
    for (const { organisation, share } of answer.verdicts) {
      const state = stateOf(organisation);
      state.share = share;
      state.shareExpiresAt = now + ttlMs;
    }
  }

  function addUsage(
    { organisation, requests, tokens }: Usage,
    sign: 1 | -1,
  ): void {
    const state = stateOf(organisation);
    state.requests += sign * requests;
    state.tokens += sign * tokens;
  }

  /** Usage of the organisation that is heaviest relative to its limits. */
  function maxRelativeUsage(usages: readonly Usage[]): number {
    return Math.max(...usages.map(relativeUsage));
  }

  function relativeUsage({ organisation, requests, tokens }: Usage): number {
    const limits = options.limitsOf(organisation);
    return Math.max(
      requests / (limits?.requestsPerSecond ?? Number.POSITIVE_INFINITY),
      tokens / (limits?.tokensPerSecond ?? Number.POSITIVE_INFINITY),
    );
  }

  function intervalMs(): number {
    return hasReported ? REPORT_INTERVAL_MS : START_INTERVAL_MS;
  }

  async function run(): Promise<void> {
    while (!stopped.signal.aborted) {
      await pause(intervalMs(), stopped.signal);
      await sendReports();
    }
  }

  void run();
  return {
    admit(organisation, { tokens }) {
      if (!options.limitsOf(organisation)) return { kind: "admitted" };
      const state = stateOf(organisation);
      state.requests += 1;
      state.tokens += tokens;
      const share = performance.now() < state.shareExpiresAt ? state.share : 1;
      state.credit = Math.min(2, state.credit + share);
      if (state.credit < 1) return refuse(share);
      state.credit -= 1;
      return { kind: "admitted" };
    },
    stop: () => stopped.abort(),
  };
}

/** Keeps instances that started together from reporting together. */
function jittered(durationMs: number): number {
  return durationMs * (0.5 + Math.random());
}

/**
 * Refuses a request. The retry delay is the inverse of the share: about the
 * seconds until one request is admitted for a caller with one per second.
 */
function refuse(share: number): Admission {
  const seconds = share > 0 ? Math.ceil(1 / share) : MAX_RETRY_SECONDS;
  const retryAfterSeconds = Math.min(MAX_RETRY_SECONDS, seconds);
  return { kind: "refused", retryAfterSeconds };
}
