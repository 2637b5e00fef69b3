/**
 * Forwards answers that are streams of events. A broken answer is resumed on
 * another pipeline after the last event that the caller has received.
 */
import type { BackendServer } from "../backend_server.ts";
import {
  type CallEnd,
  type CallerCall,
  createStreamPace,
  maxAttemptsOf,
  priorityOf,
  type QueueOutlook,
  reportFailedServers,
} from "../callers/mod.ts";
import { hasReachedServer } from "../handoff/mod.ts";
import { sharedPromptOf } from "../prompts/mod.ts";
import {
  type AdmissionDecision,
  costOf,
  createAdmission,
} from "./admission.ts";
import { createAvoidedEngines } from "./avoided_engines.ts";
import { createCallRetries } from "./call_retries.ts";
import { type FollowingRun, startFollowingRun } from "./following_run.ts";
import {
  type BegunAnswer,
  forwardBegun,
  type HelperRequest,
  type HelperRunEnd,
} from "./helper_run.ts";
import { createHelperSearch } from "./helper_search.ts";
import type { AnswerSize, ChosenPipeline } from "./pipeline_router.ts";
import { createPromptPermission } from "./prompt_permission.ts";
import { createRunCount } from "./run_count.ts";
import {
  type RecoveryCause,
  RUN_ENDED,
  type RunSuccessor,
  type StreamRun,
} from "./stage_recovery.ts";
import { endStreamCall, soonestBackoffEndMs } from "./stream_end.ts";
import {
  type RunEnd,
  runStream,
  type StreamParts,
  type StreamProgress,
} from "./stream_run.ts";

/**
 * Time without a first event after which a run that can be repeated ends when
 * its engine is silent, also if no other run can follow.
 */
const MAX_UNBEGUN_RUN_MS = 4_000;

/** Forwards a call until its stream is complete or can't be completed. */
export async function forwardStream(
  call: CallerCall,
  parts: StreamParts,
): Promise<CallEnd> {
  const { router, queues, handoff, fleet } = parts;
  const { name: service } = call.service;
  const { resumable } = call.route;
  const progress: StreamProgress = {
    hasBegun: false,
    lastEventId: call.metadata.lastEventId,
    pace: createStreamPace(call.startedAt),
  };
  /** Engines that have answered with errors, to this or another instance. */
  const failedServers = new Set(call.handedOff?.failedServers);
  const avoided = createAvoidedEngines(failedServers);
  const count = createRunCount(maxAttemptsOf(call));
  const retries = createCallRetries(parts.budget, service);
  const helpers = createHelperSearch(call, {
    progress,
    parts,
    failedServers,
    avoided,
  });
  const prompt = parts.prompts.track(call);
  const permission = createPromptPermission({
    quarantine: parts.quarantine,
    prompt,
    sharedPrompt: sharedPromptOf(call),
  });
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
  let retryAfterSeconds: number | null = null;
  const size = estimateSize(call);
  let outlook: QueueOutlook = { cost: costOf(size) };
  const admission = createAdmission(call, parts, {
    size,
    avoided,
    isOutOfReach: () =>
      permission.isRefused() ||
      (helpers.mayAsk() && fleet.reachability.isCutOff(service)),
  });
  try {
    while (!call.signal.aborted) {
      if (permission.isRefused()) {
        refusePrompt();
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
    retries.release();
  }
  reportFailedServers(call, failedServers);
  return endStreamCall(call, {
    lastEnd,
    progress,
    attempts: count.attempts(),
    runs: count.runs(),
    parts,
    outlook,
    backoffMs: hasPipeline ? 0 : soonestBackoffEndMs(fleet, service),
    retryAfterSeconds,
  });

  function refusePrompt(): void {
    const refusal = permission.refusal();
    lastEnd = refusal.end;
    retryAfterSeconds = refusal.retryAfterSeconds;
  }

  /** Whether the call may be sent once more after a run that broke off. */
  function mayRunAgain(): boolean {
    return resumable && count.runsLeft() > 0 && permission.mayRepeat();
  }

  async function usesHelper(): Promise<boolean> {
    if (begun) return true;
    return helpers.mayAsk() && (!hasPipeline || (await handoff.isNeeded(call)));
  }

  /** Whether the call may be sent, or sent once more within the budget. */
  function maySend(): boolean {
    return count.sentAttempts() === 0 || retries.take();
  }

  function releaseReserved(): void {
    if (following) following.run.stop.abort();
    else retries.releaseReserved();
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
      if (mayBeLost && !count.mayLoseRun()) return false;
      return count.runsLeft() > (mayBeLost ? 0 : 1) && permission.mayRepeat();
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
      if (following || count.isRefusedByMany()) return false;
      if (count.runsLeft() <= 1 && !(await isLost())) return false;
      if (await handoff.isNeeded(call))
        return helpers.mayAsk() && beginElsewhere(cause, signal);
      if (!retries.reserve()) return false;
      const admitted = await admission.admit({ hasBegun, signal });
      if (admitted.kind === "out_of_reach")
        return helpers.mayAsk() && beginElsewhere(cause, signal);
      if (admitted.kind !== "admitted") return false;
      const { pipeline } = admitted;
      const mayRun = (await permission.mayRun()) && !signal.aborted;
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
    count.countAttempt();
    retries.sendReserved();
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
        if (countEnd(end, pipeline)) retries.useReserved();
      },
      () => {},
    );
    return next.hasBegun;
  }

  function startFollowing(pipeline: ChosenPipeline): FollowingRun {
    return startFollowingRun(call, {
      run: createRun(pipeline),
      hasEnded,
      successor: () => successorOf(pipeline.first),
      start: (run, onOpened) =>
        runAndMeasure(run, { attempt: count.sentAttempts() + 2, onOpened }),
    });
  }

  /** Goes on with a run that was started; resolves to whether it is over. */
  async function takeFollowing(next: FollowingRun): Promise<boolean> {
    following = null;
    retries.follow();
    turn += 1;
    next.take();
    return endRun(next.run, await next.end);
  }

  /** Counts a run that has ended; returns whether it reached an engine. */
  function countEnd(end: RunEnd, { first }: ChosenPipeline): boolean {
    if (end.kind === "not_run" && !end.wasSent) return false;
    count.countSent();
    if (end.kind === "not_run") return true;
    count.countRuns(1);
    if (end.kind === "failed") failedServers.add(first.id);
    return true;
  }

  /** Asks other instances for an answer, and counts what may have run there. */
  async function askHelper(
    runsAllowed: number,
    request: Pick<HelperRequest, "takesRetry" | "signal">,
  ): Promise<BegunAnswer | HelperRunEnd> {
    const { end, runs } = await helpers.ask(runsAllowed, request);
    if (hasReachedServer(end)) {
      count.countSent();
      retries.use();
    }
    if (end.kind === "unavailable" || end.kind === "refused") {
      retryAfterSeconds = end.retryAfterSeconds;
      return end;
    }
    count.countAttempt();
    count.countRuns(runs);
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
    const takesRetry = !retries.reserve();
    retries.sendReserved();
    const present = cause === "first_engine_away" ? 0 : 1;
    const runsAllowed = count.runsLeft() - present;
    const end = await askHelper(runsAllowed, { takesRetry, signal });
    if (hasReachedServer(end)) retries.useReserved();
    if (end.kind === "unavailable" || end.kind === "refused") return false;
    begun = end.kind === "begun" ? end : null;
    return begun !== null;
  }

  async function sendToHelper(): Promise<BegunAnswer | HelperRunEnd> {
    const takesRetry = !maySend();
    retries.send();
    return askHelper(count.runsLeft(), { takesRetry });
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
      count.countAttempt();
      lastEnd = { kind: "not_run", detail: end.reason, wasSent: false };
      // A begun answer waits, since cutting it is the last resort.
      return !progress.hasBegun;
    }
    lastEnd = end;
    helpers.reset();
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
      if (count.attempts() === 0)
        lastEnd = { kind: "not_run", detail: admitted.reason, wasSent: false };
      return hasPipeline || !mayOthersHavePipeline() || !helpers.mayAsk();
    }
    const { pipeline } = admitted;
    if (!(await permission.mayRun())) {
      pipeline.release();
      refusePrompt();
      return true;
    }
    if (!maySend()) {
      pipeline.release();
      return true;
    }
    count.countAttempt();
    turn += 1;
    retries.send();
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
    if (countEnd(end, run.pipeline)) retries.use();
    if (following) {
      void countIfLost(end, run);
      return false;
    }
    if (end.kind === "not_run") return count.isRefusedByMany();
    if (end.kind === "broken" && (await hasLostFirstEngine(end, run)))
      count.countLost();
    if (begun) return false;
    return count.hasLostTooMany() || !mayRunAgain();
  }

  /** Counts a run as lost if its first engine can't be connected to any more. */
  async function countIfLost(
    end: RunEnd,
    { pipeline }: StreamRun,
  ): Promise<void> {
    if (end.kind !== "broken" || !end.isFirstEngineLost) return;
    if (!(await parts.canConnect(pipeline.first.address))) count.countLost();
  }

  /**
   * Whether a broken run was lost with its first engine. An engine that can't be
   * connected to is one, if that decides whether the answer can go on.
   */
  async function hasLostFirstEngine(
    { isFirstEngineLost }: Extract<RunEnd, { readonly kind: "broken" }>,
    { pipeline }: StreamRun,
  ): Promise<boolean> {
    if (isFirstEngineLost || begun || !resumable || count.runsLeft() > 0)
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
        attempt: count.sentAttempts() + 1,
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
