/** Queue of the requests that wait for the engines of one model. */
import { admit, retryAfter } from "./admission.ts";
import {
  createFairQueue,
  type QueueAttributes,
  type QueueTicket,
} from "./fair_queue.ts";
import type {
  Grant,
  GrantRequest,
  GrantResult,
  RefusalCode,
} from "./router.ts";
import { createServiceRate } from "./service_rate.ts";

/** Weight of the previous average of first-token times. */
const FIRST_TOKEN_SMOOTHING = 0.9;
/** Cost of a prompt token relative to a decoded token. */
const PROMPT_TOKEN_COST = 0.05;

/** Why no engines were found: all are full, or no engine holds some layers. */
export type Shortage = "busy" | "uncovered";

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
  length(): number;
}

interface WaitingRequest {
  readonly grantRequest: GrantRequest;
  readonly settle: (result: GrantResult) => void;
}

/** Creates an empty queue. */
export function createModelQueue(options: ModelQueueOptions): ModelQueue {
  const queue = createFairQueue<WaitingRequest>();
  const recoveries: WaitingRequest[] = [];
  const rate = createServiceRate();
  let firstTokenMs = 0;

  function length(): number {
    return queue.length() + recoveries.length;
  }

  async function acquire(grantRequest: GrantRequest): Promise<GrantResult> {
    const attributes = attributesOf(grantRequest);
    if (length() === 0) {
      const grant = options.tryGrant(grantRequest);
      if (typeof grant !== "string") {
        rate.recordGrant(attributes.cost, { isBacklogged: false });
        return { kind: "granted", grant };
      }
    }
    if (grantRequest.isRecovery) return recover(grantRequest);
    if (length() >= options.maxLength) {
      return refuse(
        "queue_full",
        rate.predictWaitMs(queue.workAhead(attributes)),
      );
    }
    const predictedWaitMs = rate.predictWaitMs(
      queue.workAhead(attributes) + attributes.cost,
    );
    const admission = admit(
      { ...grantRequest.request, predictedWaitMs, firstTokenMs },
      options,
    );
    if (admission.kind === "refused") {
      const { retryAfterSeconds } = admission;
      return { kind: "refused", code: "too_late", retryAfterSeconds };
    }
    return waitInQueue(grantRequest, { attributes, until: admission.until });
  }

  function waitInQueue(
    grantRequest: GrantRequest,
    entry: { readonly attributes: QueueAttributes; readonly until: number },
  ): Promise<GrantResult> {
    return new Promise((resolve) => {
      const stopWatching = onDeadlineOrAbort(grantRequest, entry.until, () => {
        queue.remove(ticket);
        const predictedMs = rate.predictWaitMs(
          queue.workAhead(entry.attributes),
        );
        settle(refuse(timeoutCode(grantRequest), predictedMs));
      });
      const settle = (result: GrantResult) => {
        stopWatching();
        options.onLengthChange(-1);
        resolve(result);
      };
      rate.startMeasurement();
      const ticket = queue.push({ grantRequest, settle }, entry.attributes);
      options.onLengthChange(1);
    });
  }

  /**
   * Handles an answer that lost a stage. It precedes new requests, since its
   * caller is already reading it. If the engines that it does not avoid cannot
   * cover the layers, it is refused immediately, since only the answer itself
   * can decide to retry an engine that it avoids.
   */
  async function recover(grantRequest: GrantRequest): Promise<GrantResult> {
    const grant = options.tryGrant(grantRequest);
    if (grant === "uncovered") return refuse("no_capacity", 0);
    if (grant === "busy") return waitAsRecovery(grantRequest);
    return { kind: "granted", grant };
  }

  function waitAsRecovery(grantRequest: GrantRequest): Promise<GrantResult> {
    return new Promise((resolve) => {
      const stopWatching = onDeadlineOrAbort(
        grantRequest,
        grantRequest.request.deadlineAt,
        () => {
          recoveries.splice(recoveries.indexOf(waiting), 1);
          settle(refuse("deadline", 0));
        },
      );
      const settle = (result: GrantResult) => {
        stopWatching();
        options.onLengthChange(-1);
        resolve(result);
      };
      const waiting: WaitingRequest = { grantRequest, settle };
      recoveries.push(waiting);
      options.onLengthChange(1);
    });
  }

  /**
   * Returns the code for a request whose wait timed out. It checks coverage
   * without a grant: engines granted to an abandoned request would never be
   * released.
   */
  function timeoutCode(grantRequest: GrantRequest): RefusalCode {
    return options.isCovered(grantRequest) ? "too_late" : "no_capacity";
  }

  /**
   * Grants engines until the first request for which all engines are full. A
   * request whose layers no engine holds yet is skipped, so that it does not
   * block those behind it.
   */
  function pump(): void {
    for (const waiting of [...recoveries]) {
      const grant = options.tryGrant(waiting.grantRequest);
      if (grant === "busy") return;
      recoveries.splice(recoveries.indexOf(waiting), 1);
      waiting.settle(
        grant === "uncovered"
          ? refuse("no_capacity", 0)
          : { kind: "granted", grant },
      );
    }
    const skipped = new Set<QueueTicket<WaitingRequest>>();
    let ticket = queue.peek();
    while (ticket) {
      const grant = options.tryGrant(ticket.item.grantRequest);
      if (grant === "busy") return;
      if (grant === "uncovered") skipped.add(ticket);
      else serve(ticket, grant);
      ticket = queue.peek(skipped);
    }
  }

  function serve(ticket: QueueTicket<WaitingRequest>, grant: Grant): void {
    queue.serve(ticket);
    rate.recordGrant(ticket.attributes.cost, {
      isBacklogged: queue.length() > 0,
    });
    ticket.item.settle({ kind: "granted", grant });
  }

  return {
    acquire,
    pump,
    length,
    observeFirstToken(afterGrantMs) {
      firstTokenMs =
        firstTokenMs === 0
          ? afterGrantMs
          : firstTokenMs * FIRST_TOKEN_SMOOTHING +
            afterGrantMs * (1 - FIRST_TOKEN_SMOOTHING);
    },
  };
}

/**
 * Calls `onEnd` once, at the time `until` or when the caller aborts. Returns a
 * function that cancels this.
 */
function onDeadlineOrAbort(
  grantRequest: GrantRequest,
  until: number,
  onEnd: () => void,
): () => void {
  const timer = setTimeout(end, Math.max(0, until - Date.now()));
  grantRequest.signal.addEventListener("abort", end, { once: true });
  function stopWatching(): void {
    clearTimeout(timer);
    grantRequest.signal.removeEventListener("abort", end);
  }
  function end(): void {
    stopWatching();
    onEnd();
  }
  return stopWatching;
}

function attributesOf({ request }: GrantRequest): QueueAttributes {
  return {
    organisation: request.organisation,
    weight: request.weight ?? 1,
    priority: request.priority,
    cost: request.maxTokens + request.promptTokens.length * PROMPT_TOKEN_COST,
  };
}

function refuse(code: RefusalCode, excessMs: number): GrantResult {
  const retryAfterSeconds = retryAfter(excessMs);
  return { kind: "refused", code, retryAfterSeconds };
}
