/**
 * Queues of the streamed requests that wait for capacity on engines, one for
 * each service. Loads: callers that compete for too little capacity, and
 * engines that are lost while requests wait.
 */
import {
  type AdmissionQueue,
  type AdmissionRequest,
  createAdmissionQueue,
  type DemandRecorder,
  type Shortage,
} from "@rosemarypin/admission";
import type { AvoidedEngines } from "./avoided_engines.ts";
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
export const MAX_LOAD = 1;
/**
 * Bounds on the waiting requests of one service. A small instance has 202 MB of
 * memory and answers some ten requests per second, so that even a backlog of
 * several seconds is far below the first bound.
 */
const MAX_REQUESTS = 1_000;
const MAX_BYTES = 16e6;
/**
 * Time for which a pipeline that was found without regard to load is assumed to
 * exist, unless the fleet changes. With hundreds of engines, a search takes
 * milliseconds.
 */
const COVERAGE_VALID_MS = 100;
/** Weight of the previous mean of the times to the first event. */
const FIRST_EVENT_SMOOTHING = 0.9;

export const NO_DEMAND_RECORDER: DemandRecorder = {
  arrived() {},
  waitingChanged() {},
  heldChanged() {},
};

/** A run of a call that waits for a pipeline. */
export interface StreamAdmissionRequest extends AdmissionRequest {
  readonly pipelineRequest: Omit<PipelineRequest, "avoided" | "maxLoad"> & {
    readonly avoided: AvoidedEngines;
  };
  /** Called before each pump, to end waits that have become pointless. */
  readonly onPump: () => void;
}

export type StreamAdmissionQueue = AdmissionQueue<
  StreamAdmissionRequest,
  ChosenPipeline
>;

export interface AdmissionQueues {
  ofService(service: string): StreamAdmissionQueue;
  /** Whether some pipeline of usable engines exists, full engines included. */
  isCovered(request: StreamAdmissionRequest): boolean;
  /** Tries to grant waiting requests after capacity may have been freed. */
  pump(): void;
  /** Tries to grant waiting requests after the list of engines has changed. */
  fleetChanged(): void;
  /** Records the time from a grant to the first event of its answer. */
  observeFirstEvent(service: string, afterGrantMs: number): void;
  /** Moving mean of these times; 0 without any. */
  expectedFirstEventMs(service: string): number;
  readonly recorder: DemandRecorder;
  /** Waiting requests of all services, by priority. */
  waitingRequests(): ReadonlyMap<number, number>;
  /** Refuses all waiting requests, and those that find no capacity from now. */
  stop(): void;
}

export interface AdmissionQueuesOptions {
  readonly router: PipelineRouter;
  /**
   * Share of the engines' memory up to which new requests of a class are
   * admitted; `MAX_LOAD` if left out.
   */
  readonly loadLimitOf?: (service: string, priority: number) => number;
  readonly recorder?: DemandRecorder;
}

/** Creates the queues of an instance; each is created on first use. */
export function createAdmissionQueues(
  options: AdmissionQueuesOptions,
): AdmissionQueues {
  const { router, recorder = NO_DEMAND_RECORDER } = options;
  const loadLimitOf = options.loadLimitOf ?? (() => MAX_LOAD);
  const queues = new Map<string, StreamAdmissionQueue>();
  const firstEventMs = new Map<string, number>();
  const waiting = new Set<StreamAdmissionRequest>();
  /** When a pipeline was last found, by service or by request. */
  let coveredAt = new WeakMap<object, number>();

  /**
   * Requests that avoid no engine share one search, since the answer is the
   * same for all of them.
   */
  function isCovered(request: StreamAdmissionRequest): boolean {
    const { pipelineRequest } = request;
    const { service, avoided } = pipelineRequest;
    const key = avoided.size === 0 ? service : pipelineRequest;
    const now = performance.now();
    const foundAt = coveredAt.get(key) ?? Number.NEGATIVE_INFINITY;
    if (now - foundAt < COVERAGE_VALID_MS) return true;
    if (!router.hasPipeline(pipelineRequest)) return false;
    coveredAt.set(key, now);
    return true;
  }

  function tryGrant(
    request: StreamAdmissionRequest,
  ): ChosenPipeline | Shortage {
    const { pipelineRequest, priority, hasBegun } = request;
    const { service, avoided } = pipelineRequest;
    const maxLoad = hasBegun ? MAX_LOAD : loadLimitOf(service.name, priority);
    const pipeline = router.choose({ ...pipelineRequest, maxLoad });
    if (pipeline) return pipeline;
    const shortage = isCovered(request) ? "full" : "uncovered";
    // Engines that this call avoided may have recovered.
    if (hasBegun) avoided.forgive();
    return shortage;
  }

  function createQueue(service: string): StreamAdmissionQueue {
    return createAdmissionQueue<StreamAdmissionRequest, ChosenPipeline>({
      tryGrant,
      maxRequests: MAX_REQUESTS,
      maxBytes: MAX_BYTES,
      loadLimitOf: (priority) => loadLimitOf(service, priority),
      avoidsEngines: ({ pipelineRequest }) => pipelineRequest.avoided.size > 0,
      beforePump() {
        for (const request of [...waiting]) {
          if (request.pipelineRequest.service.name === service)
            request.onPump();
        }
      },
      onWaitingChanged(request, change) {
        if (change === 1) waiting.add(request);
        else waiting.delete(request);
        const { priority, cost } = request;
        recorder.waitingChanged(service, priority, change * cost);
      },
    });
  }

  function pump(): void {
    for (const queue of queues.values()) queue.pump();
  }

  return {
    ofService(service) {
      const existing = queues.get(service);
      if (existing) return existing;
      const created = createQueue(service);
      queues.set(service, created);
      return created;
    },
    isCovered,
    pump,
    fleetChanged() {
      coveredAt = new WeakMap();
      pump();
    },
    observeFirstEvent(service, afterGrantMs) {
      const last = firstEventMs.get(service);
      const mean =
        last === undefined
          ? afterGrantMs
          : last * FIRST_EVENT_SMOOTHING +
            afterGrantMs * (1 - FIRST_EVENT_SMOOTHING);
      firstEventMs.set(service, mean);
    },
    expectedFirstEventMs: (service) => firstEventMs.get(service) ?? 0,
    recorder,
    waitingRequests() {
      const counts = new Map<number, number>();
      for (const { priority } of waiting)
        counts.set(priority, (counts.get(priority) ?? 0) + 1);
      return counts;
    },
    stop() {
      for (const queue of queues.values()) queue.stop();
    },
  };
}
