/** The requests that wait for the engines of one model. */
import { admit, retryAfter } from "./admission.ts";
import {
  createFairQueue,
  type QueueFacts,
  type QueueTicket,
} from "./fair_queue.ts";
import type {
  Grant,
  GrantRequest,
  GrantResult,
  RefusalCode,
} from "./router.ts";
import { createServiceRate } from "./service_rate.ts";

/** Weight of an older first-token time against a new one. */
const FIRST_TOKEN_KEEP = 0.9;
/** Share of the work of a decoded token that a token of a prompt costs. */
const PROMPT_COST = 0.05;

/** Why no engines were found: all are full, or some layers have none. */
export type Shortage = "busy" | "uncovered";

/** Tries to find engines now. */
export type TryGrant = (need: GrantRequest) => Grant | Shortage;

export interface ModelQueueOptions {
  readonly tryGrant: TryGrant;
  /** Whether usable engines hold the layers; occupies none. */
  readonly isCovered: (need: GrantRequest) => boolean;
  readonly firstTokenObjectiveMs: number;
  readonly largestLength: number;
  /** Called whenever the number of waiting requests changes. */
  readonly onLength: (change: 1 | -1) => void;
}

export interface ModelQueue {
  acquire(need: GrantRequest): Promise<GrantResult>;
  /** Grants whatever can be granted now. */
  pump(): void;
  observeFirstToken(afterGrantMs: number): void;
  length(): number;
}

interface Waiting {
  readonly need: GrantRequest;
  readonly settle: (result: GrantResult) => void;
}

/** Creates a queue with nothing in it. */
export function createModelQueue(options: ModelQueueOptions): ModelQueue {
  const queue = createFairQueue<Waiting>();
  const recoveries: Waiting[] = [];
  const rate = createServiceRate();
  let firstTokenMs = 0;

  function length(): number {
    return queue.length() + recoveries.length;
  }

  async function acquire(need: GrantRequest): Promise<GrantResult> {
    const facts = factsOf(need);
    if (length() === 0) {
      const grant = options.tryGrant(need);
      if (typeof grant !== "string") {
        rate.granted(facts.cost, { waiting: false });
        return { kind: "granted", grant };
      }
    }
    if (need.isRecovery) return recover(need);
    if (length() >= options.largestLength) {
      return refuse("queue_full", rate.predictMs(queue.workAhead(facts)));
    }
    const predictedWaitMs = rate.predictMs(queue.workAhead(facts) + facts.cost);
    const admission = admit(
      { ...need.request, predictedWaitMs, firstTokenMs },
      options,
    );
    if (admission.kind === "refused") {
      const { retryAfterSeconds } = admission;
      return { kind: "refused", code: "too_late", retryAfterSeconds };
    }
    return waitInLine(need, { facts, until: admission.until });
  }

  function waitInLine(
    need: GrantRequest,
    place: { readonly facts: QueueFacts; readonly until: number },
  ): Promise<GrantResult> {
    return new Promise((resolve) => {
      const leave = watchEnd(need, place.until, () => {
        queue.remove(ticket);
        const predictedMs = rate.predictMs(queue.workAhead(place.facts));
        settle(refuse(lateCode(need), predictedMs));
      });
      const settle = (result: GrantResult) => {
        leave();
        options.onLength(-1);
        resolve(result);
      };
      rate.waitBegan();
      const ticket = queue.push({ need, settle }, place.facts);
      options.onLength(1);
    });
  }

  /**
   * An answer that lost a stage goes first: its caller is reading it. If the
   * engines that it may still use do not cover the layers, it is told at once,
   * since only the answer itself can decide to try one it avoids again.
   */
  async function recover(need: GrantRequest): Promise<GrantResult> {
    const grant = options.tryGrant(need);
    if (grant === "uncovered") return refuse("no_capacity", 0);
    if (grant === "busy") return waitAsRecovery(need);
    return { kind: "granted", grant };
  }

  function waitAsRecovery(need: GrantRequest): Promise<GrantResult> {
    return new Promise((resolve) => {
      const leave = watchEnd(need, need.request.deadlineAt, () => {
        recoveries.splice(recoveries.indexOf(waiting), 1);
        settle(refuse("deadline", 0));
      });
      const settle = (result: GrantResult) => {
        leave();
        options.onLength(-1);
        resolve(result);
      };
      const waiting: Waiting = { need, settle };
      recoveries.push(waiting);
      options.onLength(1);
    });
  }

  /**
   * What a request that waited in vain lacked. Only asked, not tried: engines
   * granted to a request that is given up on would stay busy for good.
   */
  function lateCode(need: GrantRequest): RefusalCode {
    return options.isCovered(need) ? "too_late" : "no_capacity";
  }

  /**
   * Stops at the first request for which all engines are full. One whose
   * layers nobody holds (yet) must not hold up those behind it.
   */
  function pump(): void {
    for (const waiting of [...recoveries]) {
      const grant = options.tryGrant(waiting.need);
      if (grant === "busy") return;
      recoveries.splice(recoveries.indexOf(waiting), 1);
      waiting.settle(
        grant === "uncovered"
          ? refuse("no_capacity", 0)
          : { kind: "granted", grant },
      );
    }
    const skipped = new Set<QueueTicket<Waiting>>();
    let ticket = queue.peek();
    while (ticket) {
      const grant = options.tryGrant(ticket.item.need);
      if (grant === "busy") return;
      if (grant === "uncovered") skipped.add(ticket);
      else serve(ticket, grant);
      ticket = queue.peek(skipped);
    }
  }

  function serve(ticket: QueueTicket<Waiting>, grant: Grant): void {
    queue.serve(ticket);
    rate.granted(ticket.facts.cost, { waiting: queue.length() > 0 });
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
          : firstTokenMs * FIRST_TOKEN_KEEP +
            afterGrantMs * (1 - FIRST_TOKEN_KEEP);
    },
  };
}

/** Calls `giveUp` once, at the time or when the caller leaves. */
function watchEnd(
  need: GrantRequest,
  until: number,
  giveUp: () => void,
): () => void {
  const timer = setTimeout(end, Math.max(0, until - Date.now()));
  need.signal.addEventListener("abort", end, { once: true });
  function leave(): void {
    clearTimeout(timer);
    need.signal.removeEventListener("abort", end);
  }
  function end(): void {
    leave();
    giveUp();
  }
  return leave;
}

function factsOf({ request }: GrantRequest): QueueFacts {
  return {
    organisation: request.organisation,
    weight: request.weight ?? 1,
    priority: request.priority,
    cost: request.maxTokens + request.promptTokens.length * PROMPT_COST,
  };
}

function refuse(code: RefusalCode, excessMs: number): GrantResult {
  const retryAfterSeconds = retryAfter(excessMs);
  return { kind: "refused", code, retryAfterSeconds };
}
