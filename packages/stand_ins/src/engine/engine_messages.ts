/** Takes the messages of the other engines of a pipeline. */
import type { AttemptRequest, LostCause } from "@rosemarypin/schemas";
import {
  type Attempts,
  type AttemptsOptions,
  isForEarlier,
} from "./attempts.ts";
import { returnTo } from "./outgoing.ts";
import { openSequence, type Sequence } from "./sequence.ts";
import type { EngineMessage, StepMessage } from "./step.ts";

export interface EngineMessagesOptions extends AttemptsOptions {
  readonly attempts: Attempts;
}

/** What an engine does with messages that come, and with those that cannot. */
export interface EngineMessages {
  /** Returns whether the message found its sequence, or needs none. */
  receive(message: EngineMessage): boolean;
  /** Tells the first stages of messages that did not reach their stage. */
  reportLost(messages: readonly EngineMessage[], lost: Lost): void;
}

interface Lost {
  readonly cause: LostCause;
  readonly reason: string;
}

/** Creates the receiving half of an engine. */
export function createEngineMessages(
  options: EngineMessagesOptions,
): EngineMessages {
  const { incarnation, table, order, dispatch, enqueue, attempts } = options;
  const { importCache } = options;

  /** Sequences whose import has begun: a repeated step begins no other. */
  const imports = new WeakSet<Sequence>();

  /**
   * Opens a later stage's sequence. A late message of an older attempt must
   * not open it again: it would run layers a second time and take the KV
   * cache away from the attempt that goes on.
   */
  function openFor(open: AttemptRequest, stage: number): void {
    const { requestId } = open;
    if (table.latestAttempt(requestId) >= open.attempt) return;
    if (isForEarlier(open, { stage, incarnation })) {
      const reason = "restarted since the attempt was planned";
      return sendLost(open, { stage, cause: "no_cache", reason });
    }
    if (!order.holdsStage(open, stage)) {
      const reason = "version not held";
      return sendLost(open, { stage, cause: "unreachable", reason });
    }
    const earlier =
      table.running(requestId) ?? table.parked(requestId)?.sequence;
    const sequence = openSequence(open, { stage, emit: null, earlier });
    if (sequence) return table.run(sequence);
    sendLost(open, { stage, cause: "no_cache", reason: "no KV cache" });
  }

  /** Queues a step, once the KV cache that it follows has been imported. */
  async function enqueueWithCache(step: StepMessage): Promise<void> {
    const sequence = table.running(step.requestId);
    const isOwn = sequence?.request.attempt === step.attempt;
    if (!step.open || !isOwn || !sequence.importFrom) return enqueue(step);
    const { request, importFrom, stage } = sequence;
    if (imports.has(sequence)) return;
    imports.add(sequence);
    const end = await importCache(sequence, importFrom);
    if (end.kind === "stopped") return;
    if (end.kind === "failed") {
      const { reason } = end;
      return sendLost(request, { stage, cause: "no_cache", reason });
    }
    const { bytes, durationMs } = end;
    const result = { kind: "imported", stage, bytes, durationMs } as const;
    dispatch(returnTo(request, result));
    enqueue(step);
  }

  /** Tells the first stage that a stage cannot go on. */
  function sendLost(
    answer: AttemptRequest,
    lost: Lost & { readonly stage: number },
  ): void {
    dispatch(returnTo(answer, { kind: "lost", ...lost }));
  }

  return {
    receive(message) {
      const { requestId, attempt } = message;
      if (message.type === "step") {
        if (message.open) openFor(message.open, message.stage);
        const isKnown = table.latestAttempt(requestId) >= attempt;
        if (isKnown) void enqueueWithCache(message);
        return isKnown || message.open !== undefined;
      }
      const sequence = table.running(requestId);
      if (sequence?.request.attempt !== attempt) return true;
      if (message.type === "return") void attempts.takeReturn(message);
      else if (message.drop) table.drop(requestId);
      else table.park(sequence, null);
      return true;
    },
    reportLost(messages, lost) {
      for (const message of messages) {
        const sequence = table.running(message.requestId);
        const isCurrent = sequence?.request.attempt === message.attempt;
        if (message.type !== "step" || !isCurrent) continue;
        sendLost(sequence.request, { stage: message.stage, ...lost });
      }
    },
  };
}
