/** Admits answers to pipelines: at once, after a wait, or not at all. */
import type {
  AdmissionRefusal,
  Arrival,
  RefusalReason,
} from "@rosemarypin/admission";
import { createLogger } from "@rosemarypin/telemetry";
import { type CallerCall, priorityOf, timeLeftMs } from "../callers/mod.ts";
import type {
  AdmissionQueues,
  StreamAdmissionRequest,
} from "./admission_queues.ts";
import type { AvoidedEngines } from "./avoided_engines.ts";
import type {
  AnswerSize,
  ChosenPipeline,
  PipelineRequest,
  PipelineRouter,
} from "./pipeline_router.ts";

/**
 * Latest first event of a new answer that is worth a start, in objectives since
 * this attempt. Callers give up on an answer without an event after some four
 * objectives, and engines that are full read prompts late, so that a later start
 * would often waste their work.
 */
const MAX_FIRST_EVENT_OBJECTIVES = 2;
/**
 * Longest wait of a new answer, as a share of the time that its caller has
 * left. The rest is for a retry and for the answer itself.
 */
const NEW_ANSWER_WAIT_SHARE = 0.25;
/**
 * Longest wait of a partly delivered answer for a pipeline. Other engines load
 * the layers of a lost engine within one to two seconds. A new answer is
 * refused instead, since its caller can retry.
 */
const BEGUN_ANSWER_MAX_WAIT_MS = 4_000;
/** Memory of a waiting call beside its headers and body. */
const CALL_BYTES = 4_096;

const log = createLogger("streams");

export interface RefusedAdmission {
  readonly kind: "refused";
  /**
   * `no_pipeline`: some layer isn't held by any usable engine. `no_room`:
   * there are pipelines, but their engines are full.
   */
  readonly reason: "no_pipeline" | "no_room";
  /** Why the queue refused the call. */
  readonly cause: RefusalReason;
  readonly priority: number;
  readonly cost: number;
  /** Expected wait of the call if it had stayed in the queue. */
  readonly expectedWaitMs: number;
  /** Cost granted per second while calls waited; 0 if not observed. */
  readonly costPerSecond: number;
}

export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly pipeline: ChosenPipeline }
  /** While it waited, all engines went out of this instance's reach. */
  | { readonly kind: "out_of_reach" }
  /** The signal was aborted while it waited. */
  | { readonly kind: "withdrawn" }
  | RefusedAdmission;

/** Receives the decisions on calls, for the metrics. */
export interface AdmissionObserver {
  admitted(priority: number, arrival: Arrival, waitedMs: number): void;
  refused(priority: number, cause: RefusalReason): void;
}

export interface CallAdmission {
  /**
   * Waits for a pipeline for the next run of the call and reserves it.
   * `hasBegun`: whether the answer to the caller has begun. `signal`: ends the
   * wait before that of the call does.
   */
  admit(options: {
    readonly hasBegun: boolean;
    readonly signal?: AbortSignal;
  }): Promise<AdmissionDecision>;
}

export interface AdmissionParts {
  readonly router: PipelineRouter;
  readonly queues: AdmissionQueues;
  readonly observer?: AdmissionObserver;
}

/** Creates the admission of one call; its runs share the time to wait. */
export function createAdmission(
  call: CallerCall,
  parts: AdmissionParts,
  request: Omit<PipelineRequest, "service" | "avoided" | "maxLoad"> & {
    /** Engines that the call avoids; forgiven while a begun answer waits. */
    readonly avoided: AvoidedEngines;
    /** Whether the call should go through another instance instead. */
    readonly isOutOfReach: () => boolean;
  },
): CallAdmission {
  const { router, queues, observer } = parts;
  const { isOutOfReach, ...pipelineOptions } = request;
  const { arrival } = call;
  const pipelineRequest = { ...pipelineOptions, service: call.service };
  const { name: service } = call.service;
  const queue = queues.ofService(service);
  const priority = priorityOf(call);
  const cost = costOf(request.size);
  const bytes = CALL_BYTES + bytesOf(call);
  let begunWaitedMs = 0;
  /** Set at the first attempt, so that later ones don't prolong the wait. */
  let newWaitUntil: number | null = null;
  queues.recorder.arrived(service, priority, cost);

  function startBy(): number {
    const expectedMs = queues.expectedFirstEventMs(service);
    return call.firstAttemptAt + call.route.objectiveMs - expectedMs;
  }

  function waitUntil(hasBegun: boolean): number {
    const now = performance.now();
    if (hasBegun) return now + BEGUN_ANSWER_MAX_WAIT_MS - begunWaitedMs;
    const latestFirstEventAt =
      call.startedAt + MAX_FIRST_EVENT_OBJECTIVES * call.route.objectiveMs;
    newWaitUntil ??= Math.min(
      latestFirstEventAt - queues.expectedFirstEventMs(service),
      now + NEW_ANSWER_WAIT_SHARE * timeLeftMs(call),
    );
    return newWaitUntil;
  }

  async function admit(
    hasBegun: boolean,
    signal: AbortSignal,
  ): Promise<AdmissionDecision> {
    const outOfReach = new AbortController();
    const admissionRequest: StreamAdmissionRequest = {
      pipelineRequest,
      priority,
      organisation: call.organisation?.name ?? "",
      weight: 1,
      cost,
      bytes,
      startBy: startBy(),
      waitUntil: waitUntil(hasBegun),
      arrival,
      hasBegun,
      signal: AbortSignal.any([signal, outOfReach.signal]),
      onPump() {
        if (isOutOfReach()) outOfReach.abort();
      },
    };
    const result = await queue.acquire(admissionRequest);
    if (hasBegun) begunWaitedMs += result.waitedMs;
    if (result.kind === "granted") {
      observer?.admitted(priority, arrival, result.waitedMs);
      return { kind: "admitted", pipeline: result.grant };
    }
    if (outOfReach.signal.aborted || isOutOfReach())
      return { kind: "out_of_reach" };
    if (signal.aborted && !call.signal.aborted) return { kind: "withdrawn" };
    // Cutting an answer that the caller has begun to receive is the last
    // resort: after the wait, full and avoided engines are accepted too.
    if (hasBegun) request.avoided.clear();
    const pipeline =
      hasBegun && result.reason !== "stopped" && !call.signal.aborted
        ? router.choose(pipelineRequest)
        : null;
    if (pipeline) {
      observer?.admitted(priority, arrival, result.waitedMs);
      return { kind: "admitted", pipeline };
    }
    return refuse(admissionRequest, result);
  }

  function refuse(
    admissionRequest: StreamAdmissionRequest,
    { reason: cause, waitedMs, expectedWaitMs, costAhead }: AdmissionRefusal,
  ): RefusedAdmission {
    const isUncovered =
      cause === "uncovered" || !queues.isCovered(admissionRequest);
    const reason = isUncovered ? "no_pipeline" : "no_room";
    const engines = router.countEngines(call.service);
    observer?.refused(priority, cause);
    log.warn(reason, {
      request: call.id,
      reason: cause,
      priority,
      missing_layers: isUncovered
        ? router.missingLayers(pipelineRequest) || undefined
        : undefined,
      engines: engines.listed,
      engines_avoided: engines.avoided || undefined,
      avoided: [...request.avoided].join(",") || undefined,
      waited_ms: waitedMs.toFixed(0),
      expected_wait_ms: expectedWaitMs.toFixed(0),
      cost_ahead: costAhead.toFixed(0),
    });
    return {
      kind: "refused",
      reason,
      cause,
      priority,
      cost,
      expectedWaitMs,
      costPerSecond: queue.costPerSecond(),
    };
  }

  return {
    admit: ({ hasBegun, signal = call.signal }) => admit(hasBegun, signal),
  };
}

/** Expected work of an answer, in tokens that it holds once it is complete. */
export function costOf({ promptTokens, answerTokens }: AnswerSize): number {
  return Math.max(1, promptTokens + answerTokens);
}

function bytesOf({ body, rawHeaders }: CallerCall): number {
  const headerBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return (body?.length ?? 0) + headerBytes;
}
