/** Queue of the requests that wait for the engines of one model. */
import {
  type AdmissionRefusal,
  type AdmissionRequest,
  createAdmissionQueue,
  type Shortage,
} from "@rosemarypin/admission";
import { type Priority, prioritySchema } from "@rosemarypin/schemas";
import { maxWaitMs, retryAfter } from "./admission.ts";
import type {
  Grant,
  GrantRequest,
  GrantResult,
  RefusalCode,
} from "./router.ts";

/** Interval at which queued requests are matched with recovered engines. */
const PUMP_INTERVAL_MS = 20;
/** Weight of the previous average of first-token times. */
const FIRST_TOKEN_SMOOTHING = 0.9;
/** Cost of a prompt token relative to a decoded token. */
const PROMPT_TOKEN_COST = 0.05;
/** Classes by their numeric priority, the most urgent first. */
const PRIORITIES: readonly Priority[] = prioritySchema.options;

/** Occupies engines if a pipeline is free now. */
export type TryGrant = (grantRequest: GrantRequest) => Grant | Shortage;

export interface ModelQueueOptions {
  readonly tryGrant: TryGrant;
  /** Whether usable engines hold the layers; occupies no engine. */
  readonly isCovered: (grantRequest: GrantRequest) => boolean;
  readonly firstTokenObjectiveMs: number;
  readonly maxLength: number;
  /** Called whenever the number of waiting requests changes. */
  readonly onLengthChange: (change: 1 | -1) => void;
}

export interface ModelQueue {
  acquire(grantRequest: GrantRequest): Promise<GrantResult>;
  /** Grants engines to queued requests, as far as there is capacity. */
  pump(): void;
  observeFirstToken(afterGrantMs: number): void;
  /** Refuses all waiting requests, and every request from now on. */
  stop(): void;
}

interface QueuedRequest extends AdmissionRequest {
  readonly grantRequest: GrantRequest;
}

/** Creates an empty queue. */
export function createModelQueue(options: ModelQueueOptions): ModelQueue {
  const queue = createAdmissionQueue<QueuedRequest, Grant>({
    tryGrant: ({ grantRequest }) => options.tryGrant(grantRequest),
    maxRequests: options.maxLength,
    // Bodies are bounded where they are read.
    maxBytes: Number.POSITIVE_INFINITY,
    priorities: PRIORITIES.map((_, index) => index),
    // A new request waits for engines whose state has not been read yet. A
    // recovery is refused, since only the answer itself can decide to retry an
    // engine that it avoids.
    waitsUncovered: ({ hasBegun }) => !hasBegun,
    // Requests of a model that no engine holds yet, or of its adapter, must not
    // block the others.
    maxSkipped: options.maxLength,
    pumpIntervalMs: PUMP_INTERVAL_MS,
    // An answer that ends makes room for the next one at once.
    mergePumpsMs: 0,
    onWaitingChanged: (_, change) => options.onLengthChange(change),
  });
  let firstTokenMs = 0;

  function toAdmissionRequest(grantRequest: GrantRequest): QueuedRequest {
    const { request, isRecovery, signal } = grantRequest;
    const { organisation, weight = 1, priority, deadlineAt } = request;
    const waitMs = isRecovery
      ? deadlineAt - Date.now()
      : maxWaitMs({ priority, deadlineAt, firstTokenMs }, options);
    const waitUntil = performance.now() + waitMs;
    return {
      grantRequest,
      organisation,
      weight,
      priority: PRIORITIES.indexOf(priority),
      cost: request.maxTokens + request.promptTokens.length * PROMPT_TOKEN_COST,
      bytes: 0,
      startBy: waitUntil,
      waitUntil,
      arrival: "first",
      hasBegun: isRecovery,
      signal,
    };
  }

  return {
    async acquire(grantRequest) {
      const request = toAdmissionRequest(grantRequest);
      const leftMs = Math.max(0, request.waitUntil - performance.now());
      const result = await queue.acquire(request);
      if (result.kind === "granted")
        return { kind: "granted", grant: result.grant };
      const code = refusalCode(grantRequest, result);
      const excessMs =
        result.expectedWaitMs - Math.max(0, leftMs - result.waitedMs);
      const retryAfterSeconds = retryAfter(excessMs);
      return { kind: "refused", code, retryAfterSeconds };
    },
    pump: queue.pump,
    stop: queue.stop,
    observeFirstToken(afterGrantMs) {
      firstTokenMs =
        firstTokenMs === 0
          ? afterGrantMs
          : firstTokenMs * FIRST_TOKEN_SMOOTHING +
            afterGrantMs * (1 - FIRST_TOKEN_SMOOTHING);
    },
  };

  /**
   * Coverage is checked without a grant: engines granted to an abandoned
   * request would never be released.
   */
  function refusalCode(
    grantRequest: GrantRequest,
    { reason, waitedMs }: AdmissionRefusal,
  ): RefusalCode {
    if (reason === "queue_full") return "queue_full";
    if (reason === "uncovered") return "no_capacity";
    if (grantRequest.isRecovery) return "deadline";
    if (waitedMs === 0) return "too_late";
    return options.isCovered(grantRequest) ? "too_late" : "no_capacity";
  }
}
