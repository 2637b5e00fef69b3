/** Attempts whose first stage is on this engine: start, tokens, end. */
import type { ServerResponse } from "node:http";
import type {
  AttemptRefusal,
  AttemptRequest,
  LostCause,
  ParkedAnswer,
} from "@rosemarypin/schemas";
import type { CacheImport } from "./cache_import.ts";
import { createEmit } from "./event_stream.ts";
import { embed } from "./layer_math.ts";
import type { OrderState } from "./order_state.ts";
import { closeLaterStages, type Outgoing } from "./outgoing.ts";
import {
  firstInputs,
  openSequence,
  type Sequence,
  startPosition,
} from "./sequence.ts";
import type { SequenceEnd, SequenceTable } from "./sequence_table.ts";
import type { ReturnMessage, StepMessage } from "./step.ts";

/** What attempts need of the rest of the engine. */
export interface AttemptsOptions {
  readonly incarnation: number;
  readonly table: SequenceTable;
  readonly order: OrderState;
  readonly importCache: CacheImport;
  dispatch(outgoing: readonly Outgoing[]): void;
  enqueue(step: StepMessage): void;
}

/** The attempts of one engine, as the first stage sees them. */
export interface Attempts {
  /** Streams the attempt's events, or says why it does not start. */
  start(
    attempt: AttemptRequest,
    response: ServerResponse,
  ): AttemptRefusal | null;
  takeReturn(message: ReturnMessage): Promise<void>;
  /** Stops work on all stages; the KV caches are kept for a while. */
  stop(sequence: Sequence, options: StopOptions): void;
  cancel(requestId: string): void;
  /** What there is of an answer that another instance takes over. */
  read(requestId: string): ParkedAnswer | null;
}

interface StopOptions {
  readonly reason: string;
  readonly takenOver?: boolean;
  readonly ended?: SequenceEnd;
}

/**
 * Whether an attempt was planned before this engine was restarted. Its
 * memory of attempts that are over went with the restart: a message of
 * one, held back in a frozen engine, would run layers again.
 */
export function isForEarlier(
  attempt: AttemptRequest,
  options: { readonly stage: number; readonly incarnation: number },
): boolean {
  const planned = attempt.stages[options.stage]?.incarnation;
  return planned !== undefined && planned !== options.incarnation;
}

/** Creates the attempts of an engine. */
export function createAttempts(options: AttemptsOptions): Attempts {
  const { incarnation, table, order, dispatch, importCache } = options;

  function start(
    attempt: AttemptRequest,
    response: ServerResponse,
  ): AttemptRefusal | null {
    const { requestId } = attempt;
    const refusal = refuse(attempt);
    if (refusal) return refusal;
    const running = table.running(requestId);
    if (running) stop(running, { reason: "taken over", takenOver: true });
    const emit = createEmit(response);
    const earlier = table.parked(requestId)?.sequence;
    const sequence = openSequence(attempt, { stage: 0, emit, earlier });
    if (!sequence) {
      const cause: LostCause = "no_cache";
      const lost = { stage: 0, cause, reason: "no cache" };
      void emit({ type: "stage_lost", attempt: attempt.attempt, ...lost });
      return null;
    }
    table.run(sequence);
    response.once("close", () => {
      if (table.running(requestId) !== sequence) return;
      stop(sequence, { reason: "the reader left" });
    });
    void emit({ type: "started", attempt: attempt.attempt });
    void begin(sequence);
    return null;
  }

  /** Queues the first step, after the import of the KV cache if need be. */
  async function begin(sequence: Sequence): Promise<void> {
    const { request, emit, importFrom } = sequence;
    if (importFrom) {
      const end = await importCache(sequence, importFrom);
      if (end.kind === "stopped") return;
      const { attempt } = request;
      if (end.kind === "failed") {
        const { reason } = end;
        const lost = { stage: 0, cause: "no_cache", reason } as const;
        void emit?.({ type: "stage_lost", attempt, ...lost });
        return stop(sequence, { reason });
      }
      const { bytes, durationMs } = end;
      void emit?.({ type: "imported", attempt, stage: 0, bytes, durationMs });
    }
    const position = startPosition(request, 0);
    enqueue(sequence, { position, inputs: firstInputs(request) });
  }

  function refuse(attempt: AttemptRequest): AttemptRefusal | null {
    const { requestId } = attempt;
    if (order.isLeaving()) return { error: "leaving", takenOver: false };
    if (isForEarlier(attempt, { stage: 0, incarnation }))
      return { error: "restarted", takenOver: false };
    if (!order.holdsStage(attempt, 0))
      return { error: "not held", takenOver: false };
    if (table.latestAttempt(requestId) >= attempt.attempt) {
      return { error: "a later attempt ran", takenOver: true };
    }
    return null;
  }

  async function takeReturn(message: ReturnMessage): Promise<void> {
    const sequence = table.running(message.requestId);
    if (sequence?.request.attempt !== message.attempt) return;
    const { emit, request: answer, tokens } = sequence;
    const { attempt } = answer;
    const { result } = message;
    if (!emit) return;
    if (result.kind === "imported") {
      const { stage, bytes, durationMs } = result;
      void emit({ type: "imported", attempt, stage, bytes, durationMs });
      return;
    }
    if (result.kind === "lost") {
      const { stage, cause, reason } = result;
      void emit({ type: "stage_lost", attempt, stage, cause, reason });
      return stop(sequence, { reason });
    }
    const { index, text, digest, isStop } = result;
    // A repeated message would run the next token twice.
    if (index !== tokens.length) return;
    tokens.push(text);
    sequence.lastDigest = digest;
    const token = { type: "token", attempt, index, text, digest } as const;
    if (isStop || index + 1 >= answer.maxTokens) {
      const reason = isStop ? "stop" : "length";
      void emit({ ...token, ends: reason });
      void emit({ type: "done", attempt, reason });
      return stop(sequence, { reason, ended: reason });
    }
    const room = emit(token);
    // A slow reader holds its own answer back, not the engine's memory.
    if (room) await room;
    if (table.running(answer.requestId) !== sequence) return;
    const position = answer.promptTokens.length + index;
    enqueue(sequence, { position, inputs: [embed(text, position)] });
  }

  function enqueue(
    sequence: Sequence,
    work: { readonly position: number; readonly inputs: readonly number[] },
  ): void {
    const { requestId, attempt } = sequence.request;
    options.enqueue({ type: "step", requestId, attempt, stage: 0, ...work });
  }

  function stop(sequence: Sequence, options: StopOptions): void {
    const { reason, takenOver = false, ended = null } = options;
    const { emit, request } = sequence;
    table.park(sequence, ended);
    if (!emit) return;
    const { attempt } = request;
    void emit({ type: "cancelled", attempt, takenOver, reason });
    dispatch(closeLaterStages(sequence, { drop: ended !== null }));
  }

  function cancel(requestId: string): void {
    const sequence =
      table.running(requestId) ?? table.parked(requestId)?.sequence;
    if (!sequence) return;
    void sequence.emit?.({
      type: "cancelled",
      attempt: sequence.request.attempt,
      takenOver: false,
      reason: "cancelled by the caller",
    });
    dispatch(closeLaterStages(sequence, { drop: true }));
    table.drop(requestId);
  }

  function read(requestId: string): ParkedAnswer | null {
    const parked = table.parked(requestId);
    const sequence = table.running(requestId) ?? parked?.sequence;
    if (!sequence?.emit) return null;
    const { tokens, lastDigest: digest } = sequence;
    // A moved answer goes on elsewhere under a number that was seen here: who
    // takes it over must use a higher one, or both would run.
    const attempt = table.latestAttempt(requestId);
    const request = { ...sequence.request, attempt };
    return { request, tokens, digest, ended: parked?.ended ?? null };
  }

  return { start, takeReturn, stop, cancel, read };
}
