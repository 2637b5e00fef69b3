/** Admits answers to pipelines: at once, after a wait, or not at all. */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { CallerCall } from "../callers/mod.ts";
import type {
  ChosenPipeline,
  PipelineRequest,
  PipelineRouter,
} from "./pipeline_router.ts";

/**
 * Share of an engine's memory up to which answers are admitted. Beyond it an
 * engine preempts its newest answers and later recomputes them. That work
 * delays the other answers, which then hold their memory for longer, until
 * most answers miss their objective.
 */
const MAX_LOAD = 1;
/**
 * Longest wait of a new answer for free memory, as a share of the route's
 * objective for the first event. Answers that end free memory every few
 * milliseconds.
 */
const NEW_ANSWER_WAIT_SHARE = 0.25;
const NEW_ANSWER_RETRY_MS = 20;
/**
 * Longest wait of a partly delivered answer for a pipeline. Other engines load
 * the layers of a lost engine within one to two seconds. A new answer is
 * refused instead, since its caller can retry.
 */
const BEGUN_ANSWER_MAX_WAIT_MS = 4_000;
const BEGUN_ANSWER_RETRY_MS = 100;

const log = createLogger("streams");

export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly pipeline: ChosenPipeline }
  /** While it waited, all engines went out of this instance's reach. */
  | { readonly kind: "out_of_reach" }
  | {
      readonly kind: "refused";
      /**
       * `no_pipeline`: some layer isn't held by any usable engine. `no_room`:
       * there are pipelines, but their engines are full.
       */
      readonly reason: "no_pipeline" | "no_room";
    };

export interface CallAdmission {
  /**
   * Waits for a pipeline for the next run of the call and reserves it.
   * `hasBegun`: whether the answer to the caller has begun.
   */
  admit(options: { readonly hasBegun: boolean }): Promise<AdmissionDecision>;
}

/** Creates the admission of one call; its runs share the time to wait. */
export function createAdmission(
  call: CallerCall,
  router: PipelineRouter,
  request: Omit<PipelineRequest, "service" | "avoided"> & {
    /** Engines that the call avoids; emptied while a begun answer waits. */
    readonly avoided: Set<string>;
    /** Whether the call should go through another instance instead. */
    readonly isOutOfReach: () => boolean;
  },
): CallAdmission {
  const { isOutOfReach, ...pipelineOptions } = request;
  const pipelineRequest = { ...pipelineOptions, service: call.service };
  let waitedMs = 0;

  async function waitBeforeRetry(stepMs: number): Promise<void> {
    await pause(stepMs, call.signal);
    waitedMs += stepMs;
  }

  /**
   * Cutting an answer that the caller has begun to receive is the last resort:
   * after the wait, full engines are accepted too.
   */
  async function admitBegunAnswer(): Promise<ChosenPipeline | null> {
    while (!call.signal.aborted && waitedMs < BEGUN_ANSWER_MAX_WAIT_MS) {
      if (isOutOfReach()) return null;
      const pipeline = router.choose({
        ...pipelineRequest,
        maxLoad: MAX_LOAD,
      });
      if (pipeline) return pipeline;
      // Engines that this call avoided may have recovered.
      request.avoided.clear();
      await waitBeforeRetry(BEGUN_ANSWER_RETRY_MS);
    }
    return router.choose(pipelineRequest);
  }

  async function admitNewAnswer(): Promise<ChosenPipeline | null> {
    const maxWaitMs = call.route.objectiveMs * NEW_ANSWER_WAIT_SHARE;
    let hasPipeline = false;
    for (;;) {
      const pipeline = router.choose({
        ...pipelineRequest,
        maxLoad: MAX_LOAD,
      });
      if (pipeline) return pipeline;
      if (call.signal.aborted || waitedMs >= maxWaitMs) return null;
      // Searched once: with hundreds of engines it takes milliseconds.
      hasPipeline ||= router.hasPipeline(pipelineRequest);
      if (!hasPipeline) return null;
      await waitBeforeRetry(NEW_ANSWER_RETRY_MS);
    }
  }

  return {
    async admit({ hasBegun }) {
      const pipeline = await (hasBegun ? admitBegunAnswer() : admitNewAnswer());
      if (pipeline) return { kind: "admitted", pipeline };
      if (isOutOfReach()) return { kind: "out_of_reach" };
      const reason = router.hasPipeline(pipelineRequest)
        ? "no_room"
        : "no_pipeline";
      const engines = router.countEngines(call.service);
      log.warn(reason, {
        request: call.id,
        missing_layers: router.missingLayers(pipelineRequest) || undefined,
        engines: engines.listed,
        engines_avoided: engines.avoided || undefined,
        avoided: [...request.avoided].join(",") || undefined,
        waited_ms: waitedMs,
      });
      return { kind: "refused", reason };
    },
  };
}
