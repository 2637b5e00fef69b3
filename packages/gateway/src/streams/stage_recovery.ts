/** Mends the pipeline of an answer whose stage was lost, or gives the run up. */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { BackendFleet } from "../backends/mod.ts";
import type { CallerCall } from "../callers/mod.ts";
import type { EngineCalls } from "../protocol.ts";
import type {
  AnswerSize,
  ChosenPipeline,
  PipelineRouter,
} from "./pipeline_router.ts";
import type { Stall } from "./stall_detector.ts";

const CHANGE_TIMEOUT_MS = 400;
/** Engines that may refuse one change for want of memory. */
const MOST_TRIES = 3;
/** Changes of one run; after them it goes on elsewhere. */
const MOST_CHANGES = 2;
/**
 * How long an answer waits for an empty engine to load the lost layers, in
 * milliseconds. Callers leave a stream after 2 s without an event, and the new
 * stage has all tokens to read first.
 */
const LONGEST_WAIT_MS = 1_500;
const WAIT_STEP_MS = 50;
/**
 * Load up to which other pipelines take answers of a broken one. All of them
 * move in the same moment, and each instance decides by itself.
 */
const MOST_LOAD_ELSEWHERE = 0.75;

const log = createLogger("streams");

/** A run of an answer; its pipeline changes when a stage is replaced. */
export interface StreamRun {
  pipeline: ChosenPipeline;
  readonly size: AnswerSize;
  /** Engines that the call keeps away from; grows. */
  readonly avoided: Set<string>;
  /** Whether the call may go on in another run. */
  readonly mayGoElsewhere: boolean;
  readonly stop: AbortController;
}

export interface RecoveryParts {
  readonly router: PipelineRouter;
  readonly engines: EngineCalls;
  readonly fleet: BackendFleet;
}

export interface StageRecovery {
  /** Something holds the answer up. */
  onStall(stall: Stall): void;
  /** An event came: whatever held it up is over. */
  heard(): void;
  /** Why the run was stopped, if it was. */
  cause(): RecoveryCause | null;
  end(): void;
}

export type RecoveryCause = "first_engine_away" | "stage_away";

type Replacement = "moved" | "full" | "failed";

/** Creates the recovery of one run; `onMoved` is called after each change. */
export function createStageRecovery(
  call: CallerCall,
  run: StreamRun,
  options: { readonly parts: RecoveryParts; readonly onMoved: () => void },
): StageRecovery {
  const { router, engines, fleet } = options.parts;
  let cause: RecoveryCause | null = null;
  let ended = false;
  let changes = 0;
  /** Set while a stage is being replaced; an event ends it. */
  let recovering: AbortController | null = null;

  async function recover(stall: Stall): Promise<void> {
    if (stall.kind === "first_engine") {
      const { id } = run.pipeline.first;
      log.warn("first_engine_away", { id, request: call.id });
      run.avoided.add(id);
      return stop("first_engine_away");
    }
    const { address } = stall;
    const lost = run.pipeline.stages.find((stage) => stage.address === address);
    log.warn("stage_away", { id: lost?.engineId, address, request: call.id });
    if (lost) run.avoided.add(lost.engineId);
    const replaced = changes < MOST_CHANGES && (await replaceSoon(address));
    if (!replaced && isNeeded()) stop("stage_away");
  }

  function isNeeded(): boolean {
    return !ended && recovering?.signal.aborted === false;
  }

  /**
   * Puts another engine of the lost one's failure domain in its place, as soon
   * as one holds its layers. Engines elsewhere come last: the activations of
   * all tokens of all these answers would pass the link between the domains.
   */
  async function replaceSoon(address: string): Promise<boolean> {
    const giveUpAt = performance.now() + LONGEST_WAIT_MS;
    while (isNeeded()) {
      if (await replace(address, true)) return true;
      if (!isNeeded()) return false;
      if (run.mayGoElsewhere && hasRoomElsewhere()) return false;
      if (performance.now() > giveUpAt) break;
      await pause(WAIT_STEP_MS, call.signal);
    }
    return isNeeded() && (await replace(address, false));
  }

  function hasRoomElsewhere(): boolean {
    const { service } = call;
    const { size, avoided } = run;
    const mostLoad = MOST_LOAD_ELSEWHERE;
    return router.hasRoom({ service, size, avoided, mostLoad });
  }

  /**
   * Puts other engines in the place of a lost stage. All answers that passed
   * through it move at once, and the engine that comes first to mind is soon
   * full; those that it refuses go to the next one. Taken up on a new pipeline
   * instead, each would read all its tokens again on every stage, and use up
   * one of the few runs that its route allows.
   */
  async function replace(
    address: string,
    sameDomain: boolean,
  ): Promise<boolean> {
    const full = new Set<string>();
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const moved = await replaceBy({ address, sameDomain, full });
      if (moved !== "full") return moved === "moved";
    }
    return false;
  }

  async function replaceBy(change: {
    readonly address: string;
    readonly sameDomain: boolean;
    readonly full: Set<string>;
  }): Promise<Replacement> {
    const { address, sameDomain, full } = change;
    const last = run.pipeline;
    const next = router.replaceStage(last, {
      service: call.service,
      size: run.size,
      avoided: new Set([...run.avoided, ...full]),
      address,
      sameDomain,
    });
    if (!next) return "failed";
    const answer = await engines.changePipeline(
      last.first.address,
      { requestId: call.id, pipeline: next.stages },
      CHANGE_TIMEOUT_MS,
    );
    log.info("pipeline_changed", {
      request: call.id,
      lost: address,
      stages: next.stages.length,
      answer: answer.kind,
      detail: "detail" in answer ? answer.detail : undefined,
    });
    if (answer.kind === "moved" && !ended) {
      last.release();
      run.pipeline = next;
      changes += 1;
      options.onMoved();
      return "moved";
    }
    next.release();
    if (ended || answer.kind !== "no_room") return "failed";
    const refusing = next.stages.find((one) => one.address === answer.address);
    const isNew = refusing && !last.stages.includes(refusing);
    if (!isNew) return "failed";
    full.add(refusing.engineId);
    fleet.detector.refused(refusing.engineId);
    return "full";
  }

  function stop(reason: RecoveryCause): void {
    cause = reason;
    // A stream that can't be taken up elsewhere may still come to life.
    if (call.route.resumable) run.stop.abort();
  }

  return {
    onStall(stall) {
      if (recovering || ended || cause) return;
      recovering = new AbortController();
      void recover(stall).finally(() => {
        recovering = null;
      });
    },
    heard: () => recovering?.abort(),
    cause: () => cause,
    end() {
      ended = true;
    },
  };
}
