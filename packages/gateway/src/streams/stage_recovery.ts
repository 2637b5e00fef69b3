/**
 * Replaces a lost stage in the pipeline of an answer, or gives the run up once
 * another one can take over.
 */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { BackendFleet } from "../backends/mod.ts";
import type { CallerCall } from "../callers/mod.ts";
import type { EngineCalls } from "../protocol.ts";
import type { AvoidedEngines } from "./avoided_engines.ts";
import type {
  AnswerSize,
  ChosenPipeline,
  PipelineRouter,
} from "./pipeline_router.ts";
import type { Stall } from "./stall_detector.ts";

const CHANGE_TIMEOUT_MS = 400;
/** Replacements that may fail for lack of memory before the search ends. */
const MAX_REPLACEMENT_ATTEMPTS = 3;
/** Pipeline changes in one run; the next lost stage stops it. */
const MAX_PIPELINE_CHANGES = 2;
/**
 * Silence up to which an answer waits for another engine of the domain to load
 * the lost layers. Callers abandon a stream after 2 s without an event, and a new
 * stage has to read all tokens so far before the next event.
 */
const MAX_REPLACEMENT_SILENCE_MS = 1_000;
/** Pause before the next search; doubled each time that engines have refused. */
const REPLACEMENT_RETRY_MS = 50;
/**
 * Share of an engine's memory up to which other pipelines may take over answers
 * of a broken one. The margin is needed because all answers of the broken
 * pipeline move at the same time and instances choose independently.
 */
const MAX_LOAD_ELSEWHERE = 0.75;

/** Reason of the signal to a search whose run has ended by itself. */
export const RUN_ENDED = "run_ended";

const log = createLogger("streams");

/**
 * One attempt to stream an answer. Its pipeline changes when a stage is
 * replaced.
 */
export interface StreamRun {
  pipeline: ChosenPipeline;
  readonly size: AnswerSize;
  /** Ids of engines that the call avoids; lost engines are added. */
  readonly avoided: AvoidedEngines;
  readonly successor: RunSuccessor;
  readonly stop: AbortController;
}

/** The run that would take over the answer from one that is given up. */
export interface RunSuccessor {
  /** Whether the call may have another run at all. */
  isAllowed(cause: RecoveryCause): boolean;
  /**
   * Resolves to whether another run has begun. Without that, a run isn't given
   * up: its engine may only be silent for a moment. The signal ends the search;
   * with the reason `RUN_ENDED`, what has been sent so far goes on.
   */
  reserve(cause: RecoveryCause, signal: AbortSignal): Promise<boolean>;
  /** Resolves to whether the process of an engine has ended. */
  hasEnded(address: string): Promise<boolean>;
  /** Ends what has begun or is reserved, since the run goes on. */
  cancel(): void;
}

export interface RecoveryParts {
  readonly router: PipelineRouter;
  readonly engines: EngineCalls;
  readonly fleet: BackendFleet;
}

export interface StageRecovery {
  /** Starts to recover from a stall, unless a recovery is in progress. */
  onStall(stall: Stall): void;
  /** Reports an event of the answer, which cancels a recovery in progress. */
  onEvent(): void;
  /** Whether a later stage was lost, or the request, since the last event. */
  isStalled(): boolean;
  /** Why the run was given up, or its engines are suspected; else `null`. */
  cause(): RecoveryCause | null;
  end(): void;
}

export type RecoveryCause = "first_engine_away" | "stage_away" | "dropped";

type ReplacementResult = "moved" | "full" | "failed";

/**
 * Creates the recovery of one run; `onPipelineChanged` is called after each
 * change of its pipeline.
 */
export function createStageRecovery(
  call: CallerCall,
  run: StreamRun,
  options: {
    readonly parts: RecoveryParts;
    /** Resolves to whether another engine may take a lost one's place. */
    readonly mayReplace?: (engineId: string) => Promise<boolean>;
    readonly onPipelineChanged: () => void;
    /** When the caller received the last event, or sent its request. */
    readonly lastEventAt: () => number;
  },
): StageRecovery {
  const { router, engines, fleet } = options.parts;
  const mayReplace = options.mayReplace ?? (async () => true);
  let cause: RecoveryCause | null = null;
  let hasEnded = false;
  let isStalled = false;
  let changeCount = 0;
  /** Changes of the pipeline that engines have refused. */
  let refusedChanges = 0;
  /** Set while a recovery is in progress; an event aborts it. */
  let recovering: AbortController | null = null;

  async function recover(stall: Stall): Promise<void> {
    if (stall.kind === "first_engine") {
      const { id } = run.pipeline.first;
      if (!cause) log.warn("first_engine_away", { id, request: call.id });
      run.avoided.add(id);
      return giveUp("first_engine_away", run.pipeline.first.address);
    }
    if (stall.kind === "dropped") {
      const { id } = run.pipeline.first;
      if (!cause) {
        log.warn("request_dropped", { id, request: call.id });
        fleet.outliers.record(id, "broken");
      }
      run.avoided.add(id);
      return giveUp("dropped", run.pipeline.first.address);
    }
    const { address } = stall;
    const lostStage = run.pipeline.stages.find(
      (stage) => stage.address === address,
    );
    if (!cause) {
      log.warn("stage_away", {
        id: lostStage?.engineId,
        address,
        request: call.id,
      });
    }
    if (lostStage) run.avoided.add(lostStage.engineId);
    const isReplaced =
      changeCount < MAX_PIPELINE_CHANGES &&
      (!lostStage || (await mayReplace(lostStage.engineId))) &&
      (await replaceBeforeDeadline(address));
    if (!isReplaced) await giveUp("stage_away", address);
  }

  /**
   * Stops the run if another one can take over, or if the engine has ended;
   * leaves it open otherwise.
   */
  async function giveUp(reason: RecoveryCause, address: string): Promise<void> {
    const signal = recovering?.signal;
    if (!signal || !isRecoveryNeeded()) return;
    cause = reason;
    // The load of a run that may be lost must not keep its successor waiting.
    run.pipeline.release();
    const { successor } = run;
    const isReserved = await successor.reserve(reason, signal);
    // Another engine in the place of a lost stage needs no other run.
    if (!isReserved && reason === "stage_away" && isRecoveryNeeded()) {
      if (changeCount < MAX_PIPELINE_CHANGES && (await replace(address, false)))
        return;
    }
    const mayStop =
      isReserved ||
      (call.route.resumable && (await successor.hasEnded(address)));
    if (!mayStop) return;
    if (isRecoveryNeeded()) run.stop.abort();
    else if (!hasEnded) successor.cancel();
  }

  function isRecoveryNeeded(): boolean {
    return !hasEnded && recovering?.signal.aborted === false;
  }

  /**
   * Replaces the stage as soon as another engine of the lost one's failure
   * domain holds its layers. Engines of other domains are the last resort,
   * because the activations of all tokens of all these answers would then pass
   * the link between the domains.
   */
  async function replaceBeforeDeadline(address: string): Promise<boolean> {
    const deadlineAt = options.lastEventAt() + MAX_REPLACEMENT_SILENCE_MS;
    let pauseMs = REPLACEMENT_RETRY_MS;
    while (isRecoveryNeeded()) {
      const refusedBefore = refusedChanges;
      if (await replace(address, true)) return true;
      if (!isRecoveryNeeded()) return false;
      if (run.successor.isAllowed("stage_away") && hasRoomElsewhere())
        return false;
      const leftMs = deadlineAt - performance.now();
      if (leftMs < 0) break;
      // The last search is due at the deadline, however long the pause.
      await pause(Math.min(pauseMs, leftMs + 1), call.signal);
      const wasRefused = refusedChanges > refusedBefore;
      pauseMs = wasRefused ? 2 * pauseMs : REPLACEMENT_RETRY_MS;
    }
    return isRecoveryNeeded() && (await replace(address, false));
  }

  function hasRoomElsewhere(): boolean {
    const { service } = call;
    const { size, avoided } = run;
    const maxLoad = MAX_LOAD_ELSEWHERE;
    return router.hasPipeline({ service, size, avoided, maxLoad });
  }

  /**
   * Replaces a lost stage by other engines. All answers that passed through it
   * move at the same time and soon fill the cheapest engine, so an answer that
   * an engine refuses tries the next one. Restarting on a new pipeline instead
   * would recompute all tokens on every stage and use up one of the few runs
   * that the route allows.
   */
  async function replace(
    address: string,
    sameDomain: boolean,
  ): Promise<boolean> {
    const fullEngines = new Set<string>();
    for (let attempt = 0; attempt < MAX_REPLACEMENT_ATTEMPTS; attempt += 1) {
      const result = await tryReplacement({
        address,
        sameDomain,
        fullEngines,
      });
      if (result !== "full") return result === "moved";
    }
    return false;
  }

  async function tryReplacement(change: {
    readonly address: string;
    readonly sameDomain: boolean;
    readonly fullEngines: Set<string>;
  }): Promise<ReplacementResult> {
    const { address, sameDomain, fullEngines } = change;
    const currentPipeline = run.pipeline;
    const nextPipeline = router.replaceStage(currentPipeline, {
      service: call.service,
      size: run.size,
      avoided: new Set([...run.avoided, ...fullEngines]),
      address,
      sameDomain,
    });
    if (!nextPipeline) return "failed";
    const answer = await engines.changePipeline(
      currentPipeline.first.address,
      { requestId: call.id, pipeline: nextPipeline.stages },
      CHANGE_TIMEOUT_MS,
    );
    log.info("pipeline_changed", {
      request: call.id,
      lost: address,
      stages: nextPipeline.stages.length,
      answer: answer.kind,
      detail: "detail" in answer ? answer.detail : undefined,
    });
    if (answer.kind === "moved" && !hasEnded) {
      currentPipeline.release();
      run.pipeline = nextPipeline;
      changeCount += 1;
      options.onPipelineChanged();
      return "moved";
    }
    nextPipeline.release();
    refusedChanges += 1;
    if (hasEnded || answer.kind !== "no_room") return "failed";
    const refusingStage = nextPipeline.stages.find(
      (stage) => stage.address === answer.address,
    );
    const isReplacementStage =
      refusingStage && !currentPipeline.stages.includes(refusingStage);
    if (!isReplacementStage) return "failed";
    fullEngines.add(refusingStage.engineId);
    fleet.detector.reportRefusal(refusingStage.engineId);
    return "full";
  }

  return {
    onStall(stall) {
      isStalled ||= stall.kind !== "first_engine";
      if (recovering || hasEnded || run.stop.signal.aborted) return;
      recovering = new AbortController();
      void recover(stall).finally(() => {
        recovering = null;
      });
    },
    onEvent() {
      isStalled = false;
      recovering?.abort();
      if (run.stop.signal.aborted || hasEnded || cause === null) return;
      cause = null;
      run.pipeline.restore();
    },
    isStalled: () => isStalled,
    cause: () => cause,
    end() {
      hasEnded = true;
      recovering?.abort(RUN_ENDED);
    },
  };
}
