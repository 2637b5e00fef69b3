/** Engines and callers that load an admission queue, for its tests. */
import { createAdmissionQueue } from "./admission_queue.ts";
import type { AdmissionQueueOptions } from "./admission_queue_types.ts";
import type { AdmissionRequest, Arrival } from "./admission_request.ts";

/** Time from a grant to the first event of an answer. */
export const FIRST_EVENT_MS = 100;

/** Answers of one class, as callers request them. */
export interface AnswerKind {
  readonly priority: number;
  readonly organisation?: string;
  /** Tokens that the answer holds on the engines. */
  readonly cost?: number;
  /** Time for which it holds them. */
  readonly durationMs?: number;
  readonly objectiveMs?: number;
  readonly deadlineMs?: number;
  readonly arrival?: Arrival;
  /** Milliseconds since the caller's first attempt. */
  readonly elapsedMs?: number;
  readonly hasBegun?: boolean;
  readonly signal?: AbortSignal;
}

export interface SimulatedAnswer extends Required<Omit<AnswerKind, "signal">> {
  readonly sentAt: number;
  /** `null` while it waits. */
  end: "in_time" | "late" | "refused" | null;
  /** Reason of the refusal, or an empty text. */
  reason: string;
  waitedMs: number;
  expectedWaitMs: number;
}

interface SimulatedRequest extends AdmissionRequest {
  readonly durationMs: number;
}

/** Creates engines with room for `capacity` tokens, and a queue before them. */
export function createSimulatedLoad(
  capacity: number,
  options: Partial<AdmissionQueueOptions<SimulatedRequest, true>> = {},
) {
  const answers: SimulatedAnswer[] = [];
  const engines = { capacity, held: 0, isCovered: true, searches: 0 };
  const queue = createAdmissionQueue<SimulatedRequest, true>({
    tryGrant({ cost, durationMs }) {
      engines.searches += 1;
      if (!engines.isCovered) return "uncovered";
      if (engines.held + cost > engines.capacity) return "full";
      engines.held += cost;
      setTimeout(() => {
        engines.held -= cost;
        queue.pump();
      }, durationMs);
      return true;
    },
    maxRequests: 1_000,
    maxBytes: 1e6,
    ...options,
  });

  /** Sends a request with the times that the gateway gives it. */
  async function send(kind: AnswerKind): Promise<SimulatedAnswer> {
    const sentAt = performance.now();
    const answer: SimulatedAnswer = {
      organisation: "one",
      cost: 1_000,
      durationMs: 1_000,
      objectiveMs: 500,
      deadlineMs: 20_000,
      arrival: "first",
      elapsedMs: 0,
      hasBegun: false,
      ...kind,
      sentAt,
      end: null,
      reason: "",
      waitedMs: 0,
      expectedWaitMs: 0,
    };
    answers.push(answer);
    const { objectiveMs, elapsedMs, deadlineMs, hasBegun } = answer;
    const startBy = sentAt - elapsedMs + objectiveMs - FIRST_EVENT_MS;
    const leftMs = deadlineMs - elapsedMs;
    const result = await queue.acquire({
      ...answer,
      weight: 1,
      bytes: 1_000,
      startBy,
      waitUntil: hasBegun
        ? sentAt + 4_000
        : Math.min(startBy + 3 * objectiveMs, sentAt + leftMs / 4),
      signal: kind.signal ?? new AbortController().signal,
    });
    answer.waitedMs = result.waitedMs;
    if (result.kind === "refused") {
      answer.end = "refused";
      answer.reason = result.reason;
      answer.expectedWaitMs = result.expectedWaitMs;
    } else answer.end = performance.now() <= startBy ? "in_time" : "late";
    return answer;
  }

  /** Sends requests at random times with the mean rate, for a while. */
  function sendFor(
    durationMs: number,
    perSecond: number,
    kindOf: (index: number) => AnswerKind,
    onEnd: (answer: SimulatedAnswer) => void = () => {},
  ): void {
    const random = createRandom(perSecond + durationMs);
    let atMs = 0;
    for (let index = 0; ; index += 1) {
      atMs += (-Math.log(1 - random()) * 1_000) / perSecond;
      if (atMs >= durationMs) return;
      setTimeout(() => void send(kindOf(index)).then(onEnd), atMs);
    }
  }

  return { engines, queue, send, sendFor, answers };
}

/** Share of the answers that were granted in time. */
export function shareInTime(answers: readonly SimulatedAnswer[]): number {
  return answers.filter(({ end }) => end === "in_time").length / answers.length;
}

/** Tokens of the answers that were granted. */
export function grantedCost(answers: readonly SimulatedAnswer[]): number {
  return answers
    .filter(({ end }) => end === "in_time" || end === "late")
    .reduce((sum, { cost }) => sum + cost, 0);
}

/** Repeatable numbers from 0 to 1. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
