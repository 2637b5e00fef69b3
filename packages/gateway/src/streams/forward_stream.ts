/**
 * Forwards answers that are streams of events. A broken answer is resumed on
 * another pipeline after the last event that the caller has received.
 */
import type { RetryDelayRange } from "@rosemarypin/admission";
import type { Retry } from "@rosemarypin/limits";
import { createDeferred } from "@rosemarypin/timing";
import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import {
  breakAnswerOff,
  type CallEnd,
  type CallerCall,
  createStreamPace,
  endWithRefusal,
  maxAttemptsOf,
  priorityOf,
  type QueueOutlook,
  reportFailedServers,
  sendBufferedAnswer,
} from "../callers/mod.ts";
import { attemptsForHelper, hasReachedServer } from "../handoff/mod.ts";
import { PROMPT_QUARANTINED, sharedPromptOf } from "../prompts/mod.ts";
import {
  type AdmissionDecision,
  costOf,
  createAdmission,
} from "./admission.ts";
import { createAvoidedEngines } from "./avoided_engines.ts";
import {
  type BegunAnswer,
  beginOnHelper,
  forwardBegun,
  type HelperRequest,
  type HelperRunEnd,
} from "./helper_run.ts";
import type { AnswerSize, ChosenPipeline } from "./pipeline_router.ts";
import {
  type RecoveryCause,
  RUN_ENDED,
  type RunSuccessor,
  type StreamRun,
} from "./stage_recovery.ts";
import {
  type RunEnd,
  runStream,
  type StreamParts,
  type StreamProgress,
} from "./stream_run.ts";

/** Pipelines that may refuse a call before its caller is refused. */
const MAX_REFUSALS = 4;
/**
 * Bound on runs that were lost with their first engine, so that a call ends
 * even while engines fail one after the other.
 */
const MAX_LOST_RUNS = 3;
/**
 * Time without a first event after which a run that can be repeated ends when
 * its engine is silent, also if no other run can follow.
 */
const MAX_UNBEGUN_RUN_MS = 4_000;
/** Time after which a call asks again whether another instance can serve it. */
const HELPER_RETRY_MS = 300;
/**
 * Range of the retry delay where no rate is known. The loss of an engine is
 * detected within one second and other engines hold its layers one to two
 * seconds later. A random delay in the range spreads the retries of callers that
 * were refused together.
 */
const RETRY_AFTER_LOSS_SECONDS: RetryDelayRange = {
  minSeconds: 1.2,
  maxSeconds: 3.2,
};
/** Range when all engines are full; answers take one to two seconds. */
const RETRY_WHEN_FULL_SECONDS: RetryDelayRange = {
  minSeconds: 0.5,
  maxSeconds: 2,
};

/** A run that was started while another one goes on. */
interface FollowingRun {
  readonly run: StreamRun;
  readonly end: Promise<RunEnd>;
  /** Resolves to whether an engine has begun it. */
  readonly hasBegun: Promise<boolean>;
  /** Lets its events go to the caller, since the other run has ended. */
  take(): void;
}

/** Forwards a call until its stream is complete or can't be completed. */
export async function forwardStream(
  call: CallerCall,
  parts: StreamParts,
): Promise<CallEnd> {
  const { budget, router, queues, handoff, fleet } = parts;
  const { prompts, quarantine } = parts;
  const { name: service } = call.service;
  const { resumable } = call.route;
  const maxAttempts = maxAttemptsOf(call);
  const progress: StreamProgress = {
    hasBegun: false,
    lastEventId: call.metadata.lastEventId,
    pace: createStreamPace(call.startedAt),
  };
  /** Engines that have answered with errors, to this or another instance. */
  const failedServers = new Set(call.handedOff?.failedServers);
  const avoided = createAvoidedEngines(failedServers);
  let attempts = 0;
  let runs = 0;
  let lostRuns = 0;
  let sentAttempts = 0;
  /** Taken from the budget, and not known to have arrived so far. */
  let retry: Retry | null = null;
  /** Taken for the run after the present one. */
  let spareRetry: Retry | null = null;
  /** The run after the present one, which goes on until it has begun. */
  let following: FollowingRun | null = null;
  /** Counts the runs that were the present one. */
  let turn = 0;
  /** The answer of another instance that follows the present run. */
  let begun: BegunAnswer | null = null;
  let lastEnd: RunEnd = {
    kind: "not_run",
    detail: "no_pipeline",
    wasSent: false,
  };
  let hasPipeline = true;
  const usedHelpers = new Set<string>();
  const prompt = prompts.track(call);
  const sharedPrompt = sharedPromptOf(call);
  /** Whether this call was chosen to find out if its prompt ends engines. */
  let isTrial = false;
  let helperAskedAt = -Infinity;
  let retryAfterSeconds: number | null = null;
  const size = estimateSize(call);
  let outlook: QueueOutlook = { cost: costOf(size) };
  const admission = createAdmission(call, parts, {
    size,
    avoided,
    isOutOfReach: () =>
      isQuarantined() ||
      (mayAskHelper() && fleet.reachability.isCutOff(service)),
  });
  try {
    while (!call.signal.aborted) {
      if (isQuarantined()) {
        lastEnd = quarantinedEnd();
        break;
      }
      const isOver = await (following
        ? takeFollowing(following)
        : (await usesHelper())
          ? runThroughHelper()
          : runDirectly());
      if (isOver) break;
    }
  } finally {
    releaseReserved();
    releaseRetry();
  }
  reportFailedServers(call, failedServers);
  return endCall(call, {
    lastEnd,
    progress,
    attempts,
    runs,
    parts,
    outlook,
    backoffMs: hasPipeline ? 0 : soonestBackoffEndMs(fleet, service),
    retryAfterSeconds,
  });

  function isQuarantined(): boolean {
    return !isTrial && quarantine.decide(sharedPrompt).kind === "refused";
  }

  function quarantinedEnd(): RunEnd {
    const decision = quarantine.decide(sharedPrompt);
    retryAfterSeconds =
      decision.kind === "accepted" ? null : decision.retryAfterSeconds;
    return { kind: "not_run", detail: PROMPT_QUARANTINED, wasSent: false };
  }

  /** Whether the prompt may be sent now that there is a pipeline for it. */
  async function mayRunPrompt(): Promise<boolean> {
    const { kind } = quarantine.decide(sharedPrompt);
    if (isTrial || kind === "accepted") return true;
    isTrial =
      kind === "trial_due" && (await quarantine.takeTrial(sharedPrompt));
    return isTrial;
  }

  /** Number of runs that the route still allows. */
  function runsLeft(): number {
    // Runs lost with their first engine don't count as the route's attempts.
    return maxAttempts - (runs - lostRuns);
  }

  /** Whether the call may be sent once more after a run that broke off. */
  function mayRunAgain(): boolean {
    return resumable && runsLeft() > 0 && mayRepeatPrompt();
  }

  /** Whether no engine may have ended because of the prompt. */
  function mayRepeatPrompt(): boolean {
    return prompt.isSound() || quarantine.mayRepeat(sharedPrompt);
  }

  async function usesHelper(): Promise<boolean> {
    if (begun) return true;
    return mayAskHelper() && (!hasPipeline || (await handoff.isNeeded(call)));
  }

  function mayAskHelper(): boolean {
    if (call.handedOff) return false;
    return performance.now() - helperAskedAt >= HELPER_RETRY_MS;
  }

  /** Whether the call may be sent, or sent once more within the budget. */
  function maySend(): boolean {
    if (sentAttempts === 0) return true;
    retry ??= spareRetry ?? budget.takeRetry(service);
    spareRetry = null;
    return retry !== null;
  }

  function releaseRetry(): void {
    retry?.release();
    retry = null;
  }

  function releaseReserved(): void {
    if (following) following.run.stop.abort();
    else {
      spareRetry?.release();
      spareRetry = null;
    }
    begun?.answer.abandon();
    begun = null;
  }

  async function hasEnded(address: string): Promise<boolean> {
    if (!(await parts.refusesConnections(address))) return false;
    // While this instance has lost its links, all engines look so.
    fleet.reachability.check(service);
    return !(await fleet.reachability.settled(service));
  }

  /** What follows a run whose engines are silent. */
  function successorOf(first: BackendServer): RunSuccessor {
    const startedAt = performance.now();
    const ownTurn = turn;
    /** An engine that can't be connected to doesn't count as an attempt. */
    const isLost = async () => !(await parts.canConnect(first.address));

    function isAllowed(cause: RecoveryCause): boolean {
      if (!resumable) return false;
      const mayBeLost = cause === "first_engine_away";
      if (mayBeLost && lostRuns >= MAX_LOST_RUNS) return false;
      return runsLeft() > (mayBeLost ? 0 : 1) && mayRepeatPrompt();
    }

    return {
      isAllowed,
      hasEnded,
      cancel: releaseReserved,
      async reserve(cause, signal) {
        const isReserved = await reserve(cause, signal);
        // Once the run has ended, what is reserved belongs to a later one.
        if (!isReserved && ownTurn === turn && !following) releaseReserved();
        return isReserved;
      },
    };

    async function reserve(
      cause: RecoveryCause,
      signal: AbortSignal,
    ): Promise<boolean> {
      const { hasBegun } = progress;
      const elapsedMs = performance.now() - startedAt;
      if (resumable && !hasBegun && elapsedMs > MAX_UNBEGUN_RUN_MS) return true;
      if (!isAllowed(cause)) return false;
      if (following || attempts - runs > MAX_REFUSALS) return false;
      if (runsLeft() <= 1 && !(await isLost())) return false;
      if (await handoff.isNeeded(call))
        return mayAskHelper() && beginElsewhere(cause, signal);
      spareRetry ??= budget.takeRetry(service);
      if (!spareRetry) return false;
      const admitted = await admission.admit({ hasBegun, signal });
      if (admitted.kind === "out_of_reach")
        return mayAskHelper() && beginElsewhere(cause, signal);
      if (admitted.kind !== "admitted") return false;
      const { pipeline } = admitted;
      const mayRun = (await mayRunPrompt()) && !signal.aborted;
      if (mayRun) return beginHere(pipeline, signal);
      pipeline.release();
      return false;
    }
  }

  /**
   * Starts the run that follows the present one, and resolves to whether an
   * engine has begun it. Engines that reject it don't end the present run.
   */
  function beginHere(
    pipeline: ChosenPipeline,
    signal: AbortSignal,
  ): Promise<boolean> {
    attempts += 1;
    spareRetry?.send();
    const next = startFollowing(pipeline);
    following = next;
    signal.addEventListener("abort", () => {
      if (signal.reason !== RUN_ENDED) next.run.stop.abort();
    });
    // An unexpected error is thrown where the run is taken.
    next.end.then(
      (end) => {
        if (following !== next) return;
        following = null;
        if (countEnd(end, pipeline)) spareRetry = null;
      },
      () => {},
    );
    return next.hasBegun;
  }

  function startFollowing(pipeline: ChosenPipeline): FollowingRun {
    const opened = createDeferred<boolean>();
    const taken = createDeferred<void>();
    // Until it is taken, it can be given up for the present run.
    let successor: RunSuccessor = {
      isAllowed: () => false,
      reserve: async () => true,
      hasEnded,
      cancel() {},
    };
    const run: StreamRun = {
      ...createRun(pipeline),
      get successor() {
        return successor;
      },
    };
    run.stop.signal.addEventListener("abort", () => taken.resolve());
    call.signal.addEventListener("abort", () => taken.resolve(), {
      signal: run.stop.signal,
    });
    const end = runAndMeasure(run, {
      attempt: sentAttempts + 2,
      async onOpened() {
        opened.resolve(true);
        await taken.promise;
      },
    });
    void end.then(
      () => opened.resolve(false),
      () => opened.resolve(false),
    );
    return {
      run,
      end,
      hasBegun: opened.promise,
      take() {
        successor = successorOf(pipeline.first);
        taken.resolve();
      },
    };
  }

  /** Goes on with a run that was started; resolves to whether it is over. */
  async function takeFollowing(next: FollowingRun): Promise<boolean> {
    following = null;
    retry = spareRetry;
    spareRetry = null;
    turn += 1;
    next.take();
    return endRun(next.run, await next.end);
  }

  function countSent(): void {
    sentAttempts += 1;
    retry = null;
  }

  /** Counts a run that has ended; returns whether it reached an engine. */
  function countEnd(end: RunEnd, { first }: ChosenPipeline): boolean {
    if (end.kind === "not_run" && !end.wasSent) return false;
    sentAttempts += 1;
    if (end.kind === "not_run") return true;
    runs += 1;
    if (end.kind === "failed") failedServers.add(first.id);
    return true;
  }

  /** Asks other instances for an answer, and counts what may have run there. */
  async function askHelper(
    runsAllowed: number,
    request: Pick<HelperRequest, "takesRetry" | "signal">,
  ): Promise<BegunAnswer | HelperRunEnd> {
    helperAskedAt = performance.now();
    const helperAttempts = attemptsForHelper(runsAllowed, resumable);
    const end = await beginOnHelper(call, {
      progress,
      parts,
      maxAttempts: helperAttempts,
      usedHelpers,
      failedServers,
      ...request,
    });
    for (const id of failedServers) avoided.add(id);
    if (hasReachedServer(end)) countSent();
    if (end.kind === "unavailable" || end.kind === "refused") {
      retryAfterSeconds = end.retryAfterSeconds;
      return end;
    }
    attempts += 1;
    runs += helperAttempts;
    return end;
  }

  /**
   * Has another instance begin the answer that follows the present run. The run
   * goes on until then, since no other instance may have a retry or a pipeline.
   */
  async function beginElsewhere(
    cause: RecoveryCause,
    signal: AbortSignal,
  ): Promise<boolean> {
    spareRetry ??= budget.takeRetry(service);
    spareRetry?.send();
    const takesRetry = spareRetry === null;
    const present = cause === "first_engine_away" ? 0 : 1;
    const end = await askHelper(runsLeft() - present, { takesRetry, signal });
    if (hasReachedServer(end)) spareRetry = null;
    if (end.kind === "unavailable" || end.kind === "refused") return false;
    begun = end.kind === "begun" ? end : null;
    return begun !== null;
  }

  async function sendToHelper(): Promise<BegunAnswer | HelperRunEnd> {
    const takesRetry = !maySend();
    retry?.send();
    return askHelper(runsLeft(), { takesRetry });
  }

  /** Hands the call off to another instance; resolves to whether it is over. */
  async function runThroughHelper(): Promise<boolean> {
    const first = begun ?? (await sendToHelper());
    begun = null;
    const end =
      first.kind === "begun"
        ? await forwardBegun(call, first, { progress, parts })
        : first;
    if (end.kind === "unavailable") return false;
    if (end.kind === "refused") {
      attempts += 1;
      lastEnd = { kind: "not_run", detail: end.reason, wasSent: false };
      // A begun answer waits, since cutting it is the last resort.
      return !progress.hasBegun;
    }
    lastEnd = end;
    helperAskedAt = -Infinity;
    return end.kind === "complete" || !mayRunAgain();
  }

  /**
   * Whether others may reach engines that failed here. Engines that want no
   * requests are no reason to ask: they would get them through others.
   */
  function mayOthersHavePipeline(): boolean {
    const { avoided } = router.countEngines(call.service);
    return avoided > 0 && soonestBackoffEndMs(fleet, service) === 0;
  }

  /** Runs the call on a pipeline; resolves to whether it is over. */
  async function runDirectly(): Promise<boolean> {
    const { hasBegun } = progress;
    const admitted: AdmissionDecision = await admission.admit({ hasBegun });
    if (admitted.kind === "out_of_reach") return false;
    if (admitted.kind === "withdrawn") return true;
    if (admitted.kind === "refused") {
      hasPipeline = admitted.reason !== "no_pipeline";
      // The rate at which capacity is freed says nothing about missing layers.
      if (hasPipeline) outlook = admitted;
      if (attempts === 0)
        lastEnd = { kind: "not_run", detail: admitted.reason, wasSent: false };
      return hasPipeline || !mayOthersHavePipeline() || !mayAskHelper();
    }
    const { pipeline } = admitted;
    if (!(await mayRunPrompt())) {
      pipeline.release();
      lastEnd = quarantinedEnd();
      return true;
    }
    if (!maySend()) {
      pipeline.release();
      return true;
    }
    attempts += 1;
    turn += 1;
    retry?.send();
    const run = {
      ...createRun(pipeline),
      successor: successorOf(pipeline.first),
    };
    return endRun(run, await runAndMeasure(run));
  }

  function createRun(pipeline: ChosenPipeline): Omit<StreamRun, "successor"> {
    return { pipeline, size, avoided, stop: new AbortController() };
  }

  /** Resolves to whether the call is over with the run that has ended. */
  async function endRun(run: StreamRun, end: RunEnd): Promise<boolean> {
    lastEnd = end;
    if (end.kind === "complete") return true;
    if (countEnd(end, run.pipeline)) retry = null;
    if (following) {
      void countIfLost(end, run);
      return false;
    }
    if (end.kind === "not_run") return attempts - runs > MAX_REFUSALS;
    if (end.kind === "broken" && (await hasLostFirstEngine(end, run)))
      lostRuns += 1;
    if (begun) return false;
    return lostRuns > MAX_LOST_RUNS || !mayRunAgain();
  }

  /** Counts a run as lost if its first engine can't be connected to any more. */
  async function countIfLost(
    end: RunEnd,
    { pipeline }: StreamRun,
  ): Promise<void> {
    if (end.kind !== "broken" || !end.isFirstEngineLost) return;
    if (!(await parts.canConnect(pipeline.first.address))) lostRuns += 1;
  }

  /**
   * Whether a broken run was lost with its first engine. An engine that can't be
   * connected to is one, if that decides whether the answer can go on.
   */
  async function hasLostFirstEngine(
    { isFirstEngineLost }: Extract<RunEnd, { readonly kind: "broken" }>,
    { pipeline }: StreamRun,
  ): Promise<boolean> {
    if (isFirstEngineLost || begun || !resumable || runsLeft() > 0)
      return isFirstEngineLost;
    return !(await parts.canConnect(pipeline.first.address));
  }

  /** Runs the call and records what it holds and when its answer begins. */
  async function runAndMeasure(
    run: StreamRun,
    options: {
      readonly attempt?: number;
      readonly onOpened?: () => Promise<void>;
    } = {},
  ): Promise<RunEnd> {
    const { hasBegun } = progress;
    const grantedAt = performance.now();
    const onFirstEvent = () =>
      queues.observeFirstEvent(service, performance.now() - grantedAt);
    const priority = priorityOf(call);
    const cost = costOf(size);
    queues.recorder.heldChanged(service, priority, cost);
    try {
      // A resumed run has to read the whole answer so far as well.
      const measure = hasBegun ? {} : { onFirstEvent };
      return await runStream(call, run, {
        progress,
        parts,
        prompt,
        attempt: sentAttempts + 1,
        ...measure,
        ...options,
      });
    } finally {
      queues.recorder.heldChanged(service, priority, -cost);
    }
  }
}

/** Estimates the tokens of a call's prompt and answer. */
function estimateSize({ metadata, service }: CallerCall): AnswerSize {
  const model = service.engine?.model;
  const meanAnswerTokens = model?.meanAnswerTokens ?? 0;
  const promptTokens = metadata.promptTokens ?? model?.meanPromptTokens ?? 0;
  const expected = metadata.expectedAnswerTokens ?? meanAnswerTokens;
  const answerTokens = Math.min(metadata.maxAnswerTokens ?? expected, expected);
  return { promptTokens, answerTokens };
}

function endCall(
  call: CallerCall,
  state: {
    readonly lastEnd: RunEnd;
    readonly progress: StreamProgress;
    readonly attempts: number;
    readonly runs: number;
    readonly parts: StreamParts;
    /** What is known of the wait for engines, for the time to come back. */
    readonly outlook: QueueOutlook;
    /** Milliseconds until engines want requests again, if they don't now. */
    readonly backoffMs: number;
    /** Time to come back that another instance named. */
    readonly retryAfterSeconds: number | null;
  },
): CallEnd {
  const { lastEnd, progress, attempts, runs, parts, backoffMs } = state;
  const pace = progress.pace.summary();
  const firstByteMs = pace.firstMs;
  if (lastEnd.kind === "complete") {
    const { status } = lastEnd;
    const outcome = "answered";
    return { status, outcome, reason: outcome, attempts, firstByteMs, pace };
  }
  if (call.hasCallerLeft()) {
    const reason = "caller_left";
    return { status: 0, outcome: reason, reason, attempts, firstByteMs, pace };
  }
  if (progress.hasBegun) {
    breakAnswerOff(call.response);
    const reason = lastEnd.kind === "failed" ? "failed_midway" : lastEnd.detail;
    return { status: 0, outcome: "cut", reason, attempts, firstByteMs, pace };
  }
  if (lastEnd.kind === "failed") {
    const { answer, body } = lastEnd;
    const { status } = answer;
    sendBufferedAnswer(parts.codec, call.response, { ...answer, body });
    const reason = `status_${status}`;
    return { status, outcome: "answered", reason, attempts, firstByteMs, pace };
  }
  const outcome = runs > 0 ? "unknown" : "not_run";
  const isFull = lastEnd.detail === "no_room";
  const { retryAfterSeconds } = state;
  return endWithRefusal(parts, call, {
    ...state.outlook,
    outcome,
    reason: lastEnd.detail,
    attempts,
    retryDelay: isFull ? RETRY_WHEN_FULL_SECONDS : RETRY_AFTER_LOSS_SECONDS,
    backoffMs,
    retryAfterSeconds,
    isFinal:
      lastEnd.detail === PROMPT_QUARANTINED && retryAfterSeconds === null,
  });
}

/**
 * Milliseconds until the first of the engines that want no requests at present
 * wants some again; 0 without such engines.
 */
function soonestBackoffEndMs(fleet: BackendFleet, service: string): number {
  const backoffs = fleet
    .ofService(service)
    .filter(({ leaving }) => !leaving)
    .map(fleet.backoffs.remainingMs)
    .filter((remainingMs) => remainingMs > 0);
  return backoffs.length > 0 ? Math.min(...backoffs) : 0;
}
