/**
 * Stand-in of a model engine: holds a range of layers, batches continuously,
 * passes outputs to the next stage, and streams tokens from the first stage.
 */
import type { Server, ServerResponse } from "node:http";
import {
  type AttemptRefusal,
  type AttemptRequest,
  attemptRequestSchema,
  type EngineOrder,
  type EngineState,
  engineOrderSchema,
  type LostCause,
  type ParkedAnswer,
} from "@rosemarypin/schemas";
import { type JsonExchange, reply, startJsonServer } from "../http_json.ts";
import {
  type EngineStandInSettings,
  engineFaultsSchema,
} from "../stand_in_settings.ts";
import {
  createEngineLink,
  type LinkFault,
  type Outgoing,
} from "./engine_link.ts";
import { createEmit } from "./event_stream.ts";
import { embed } from "./layer_math.ts";
import { createFileJournal, type RunJournal } from "./run_journal.ts";
import {
  firstInputs,
  nextPosition,
  openSequence,
  runStage,
  type Sequence,
  startPosition,
  takeOutputs,
} from "./sequence.ts";
import { createSequenceTable, type SequenceEnd } from "./sequence_table.ts";
import { batchDurationMs, createBatchClock } from "./speed.ts";
import type { EngineMessage, ReturnMessage, StepMessage } from "./step.ts";

/** What tests reach into an engine with. */
export interface EngineHooks {
  readonly journal?: RunJournal;
  readonly linkFault?: LinkFault;
  /** Aborts when the engine is killed: it does nothing from then on. */
  readonly killed?: AbortSignal;
  /** Resolves while the engine is not frozen. */
  readonly whenRunning?: () => Promise<void>;
}

/** Starts an engine that holds nothing until it is ordered to. */
export async function startEngine(
  settings: EngineStandInSettings,
  hooks: EngineHooks = {},
): Promise<Server> {
  const incarnation = Date.now();
  const journal =
    hooks.journal ??
    (settings.journal ? createFileJournal(settings.journal) : null);
  const table = createSequenceTable();
  const inbox: StepMessage[] = [];
  let { linkMs } = settings.speed;
  const dispatch = createEngineLink({
    own: settings.address,
    linkMs: () => linkMs,
    fault: hooks.linkFault,
    receive: (message) => void receive(message),
    onUnsent: (messages, reason) =>
      reportLost(messages, { cause: "unreachable", reason }),
    onUnknown: (messages) =>
      reportLost(messages, { cause: "no_cache", reason: "no KV cache" }),
  });
  let order: EngineOrder = {
    fencingNumber: 0,
    noteNumber: 0,
    hold: [],
    adapters: [],
  };
  let leaving = false;
  let isBatching = false;
  const clock = createBatchClock();

  async function handle(exchange: JsonExchange): Promise<void> {
    await hooks.whenRunning?.();
    const { method, url, response, body } = exchange;
    const call = `${method} ${url.pathname}`;
    if (call === "GET /state") return reply(response, 200, state());
    if (call === "POST /attempts") return startAttempt(exchange);
    if (call === "POST /steps") {
      const messages = body as EngineMessage[];
      const known = messages.map(receive);
      const unknown = messages
        .filter((_, index) => !known[index])
        .map(({ requestId }) => requestId);
      return reply(response, 200, { unknown });
    }
    if (call === "POST /order") return takeOrder(exchange);
    if (call === "POST /faults") {
      const faults = engineFaultsSchema.parse(body);
      linkMs = faults.linkMs;
      return reply(response, 200, faults);
    }
    if (call === "POST /leave") {
      leaving = true;
      return reply(response, 200, state());
    }
    const cancel = /^POST \/attempts\/([^/]+)\/cancel$/.exec(call);
    if (cancel?.[1])
      return cancelAnswer(decodeURIComponent(cancel[1]), response);
    const read = /^GET \/attempts\/([^/]+)$/.exec(call);
    if (read?.[1]) return readAnswer(decodeURIComponent(read[1]), response);
    reply(response, 404, { error: `no ${call}` });
  }

  function state(): EngineState {
    const running = new Map<string, EngineState["running"][number]>();
    const sequences = [...table.allRunning()];
    for (const { request: answer } of sequences) {
      const { model, version } = answer;
      const key = `${model}/${version}`;
      const count = (running.get(key)?.count ?? 0) + 1;
      running.set(key, { model, version, count });
    }
    return {
      engine: settings.id,
      incarnation,
      accelerator: settings.accelerator,
      failureDomain: settings.failureDomain,
      roles: settings.roles,
      fencingNumber: order.fencingNumber,
      noteNumber: order.noteNumber,
      held: order.hold,
      adapters: order.adapters,
      running: [...running.values()],
      leaving,
      load: sequences.length,
    };
  }

  function takeOrder({ response, body }: JsonExchange): void {
    const next = engineOrderSchema.parse(body);
    const isOld = next.fencingNumber < order.fencingNumber;
    if (settings.checksFencing && isOld) {
      return reply(response, 409, { fencingNumber: order.fencingNumber });
    }
    order = next;
    for (const sequence of [...table.allRunning()]) {
      if (!holds(sequence.request))
        stop(sequence, { reason: "no longer held" });
    }
    table.dropParked(({ request }) => holds(request));
    reply(response, 200, state());
  }

  function holds(answer: AttemptRequest): boolean {
    return order.hold.some(
      (held) => held.model === answer.model && held.version === answer.version,
    );
  }

  function startAttempt({ response, body }: JsonExchange): void {
    const attempt = attemptRequestSchema.parse(body);
    const { requestId } = attempt;
    const refusal = refuse(attempt);
    if (refusal) return reply(response, 409, refusal);
    const running = table.running(requestId);
    if (running) stop(running, { reason: "taken over", takenOver: true });
    const emit = createEmit(response);
    const earlier = table.parked(requestId)?.sequence;
    const sequence = openSequence(attempt, { stage: 0, emit, earlier });
    if (!sequence) {
      const lost = { stage: 0, cause: "no_cache", reason: "no cache" } as const;
      void emit({ type: "stage_lost", attempt: attempt.attempt, ...lost });
      return;
    }
    table.run(sequence);
    response.once("close", () => {
      if (table.running(requestId) !== sequence) return;
      stop(sequence, { reason: "the reader left" });
    });
    void emit({ type: "started", attempt: attempt.attempt });
    const position = startPosition(attempt, 0);
    enqueue(sequence, { position, inputs: firstInputs(attempt) });
  }

  function refuse(attempt: AttemptRequest): AttemptRefusal | null {
    const { requestId } = attempt;
    if (leaving) return { error: "leaving", takenOver: false };
    if (isForEarlier(attempt, 0))
      return { error: "restarted", takenOver: false };
    if (!holds(attempt)) return { error: "not held", takenOver: false };
    if (table.latestAttempt(requestId) >= attempt.attempt) {
      return { error: "a later attempt ran", takenOver: true };
    }
    return null;
  }

  /** Tells any instance what there is of an answer that it takes over. */
  function readAnswer(requestId: string, response: ServerResponse): void {
    const parked = table.parked(requestId);
    const sequence = table.running(requestId) ?? parked?.sequence;
    if (!sequence?.emit) return reply(response, 404, { error: "not here" });
    const { request, tokens, lastDigest: digest } = sequence;
    const ended = parked?.ended ?? null;
    const answer: ParkedAnswer = { request, tokens, digest, ended };
    reply(response, 200, answer);
  }

  function cancelAnswer(requestId: string, response: ServerResponse): void {
    const sequence =
      table.running(requestId) ?? table.parked(requestId)?.sequence;
    if (sequence) {
      void sequence.emit?.({
        type: "cancelled",
        attempt: sequence.request.attempt,
        takenOver: false,
        reason: "cancelled by the caller",
      });
      closeLaterStages(sequence, { drop: true });
      table.drop(requestId);
    }
    reply(response, 200, {});
  }

  /** Returns whether the message found its sequence, or needs none. */
  function receive(message: EngineMessage): boolean {
    const { requestId, attempt } = message;
    if (message.type === "step") {
      if (message.open) openFor(message.open, message.stage);
      const isKnown = table.latestAttempt(requestId) >= attempt;
      if (isKnown) inbox.push(message);
      void batch();
      return isKnown || message.open !== undefined;
    }
    const sequence = table.running(requestId);
    if (sequence?.request.attempt !== attempt) return true;
    if (message.type === "return") void takeReturn(sequence, message);
    else if (message.drop) table.drop(requestId);
    else table.park(sequence, null);
    return true;
  }

  /**
   * Whether an attempt was planned before this engine was restarted. Its
   * memory of attempts that are over went with the restart: a message of
   * one, held back in a frozen engine, would run layers again.
   */
  function isForEarlier(attempt: AttemptRequest, stage: number): boolean {
    const planned = attempt.stages[stage]?.incarnation;
    return planned !== undefined && planned !== incarnation;
  }

  /**
   * Opens a later stage's sequence. A late message of an older attempt must
   * not open it again: it would run layers a second time and take the KV
   * cache away from the attempt that goes on.
   */
  function openFor(open: AttemptRequest, stage: number): void {
    const { requestId } = open;
    if (table.latestAttempt(requestId) >= open.attempt) return;
    if (isForEarlier(open, stage)) {
      const reason = "restarted since the attempt was planned";
      return sendLost(open, { stage, cause: "no_cache", reason });
    }
    if (!holds(open)) {
      const reason = "version not held";
      return sendLost(open, { stage, cause: "unreachable", reason });
    }
    const earlier =
      table.running(requestId) ?? table.parked(requestId)?.sequence;
    const sequence = openSequence(open, { stage, emit: null, earlier });
    if (sequence) return table.run(sequence);
    sendLost(open, { stage, cause: "no_cache", reason: "no KV cache" });
  }

  async function takeReturn(
    sequence: Sequence,
    { result }: ReturnMessage,
  ): Promise<void> {
    const { emit, request: answer, tokens } = sequence;
    const { attempt } = answer;
    if (!emit) return;
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
    inbox.push({ type: "step", requestId, attempt, stage: 0, ...work });
    void batch();
  }

  /** Runs batches until there is no more work. */
  async function batch(): Promise<void> {
    if (isBatching) return;
    isBatching = true;
    let waitingSince = performance.now();
    while (inbox.length > 0) {
      const steps = inbox.splice(0, settings.speed.batchSize);
      await clock.run(durationOf(steps), waitingSince);
      waitingSince = inbox.length > 0 ? 0 : performance.now();
      await hooks.whenRunning?.();
      if (hooks.killed?.aborted) return;
      dispatch(steps.flatMap(runStep));
    }
    isBatching = false;
  }

  function durationOf(steps: readonly StepMessage[]): number {
    const layers = settings.roles[0]?.layers ?? { from: 0, to: 0 };
    const tokens = steps.reduce((sum, { inputs }) => sum + inputs.length, 0);
    return batchDurationMs(settings.speed, {
      layers: layers.to - layers.from,
      decodeTokens: steps.length,
      promptTokens: tokens - steps.length,
    });
  }

  function runStep(step: StepMessage): Outgoing[] {
    const sequence = table.running(step.requestId);
    if (sequence?.request.attempt !== step.attempt) return [];
    if (step.position !== nextPosition(sequence)) return [];
    const { request: answer, stage } = sequence;
    const outputs = runStage(sequence, step.inputs);
    record(sequence, step);
    const next = answer.stages[stage + 1];
    if (next) {
      const message = nextStep(step, { answer, outputs });
      return [{ to: next.address, message }];
    }
    const result = takeOutputs(sequence, outputs);
    return result ? returnTo(answer, result) : [];
  }

  function record({ request, stage }: Sequence, step: StepMessage): void {
    const layers = request.stages[stage]?.layers ?? { from: 0, to: 0 };
    journal?.append([
      {
        engine: settings.id,
        incarnation,
        requestId: request.requestId,
        attempt: request.attempt,
        ...layers,
        position: step.position,
        count: step.inputs.length,
        at: performance.timeOrigin + performance.now(),
      },
    ]);
  }

  function reportLost(
    messages: readonly EngineMessage[],
    lost: { readonly cause: LostCause; readonly reason: string },
  ): void {
    for (const message of messages) {
      const sequence = table.running(message.requestId);
      const isCurrent = sequence?.request.attempt === message.attempt;
      if (message.type !== "step" || !isCurrent) continue;
      sendLost(sequence.request, { stage: message.stage, ...lost });
    }
  }

  /** Tells the first stage that a stage cannot go on. */
  function sendLost(
    answer: AttemptRequest,
    lost: {
      readonly stage: number;
      readonly cause: LostCause;
      readonly reason: string;
    },
  ): void {
    dispatch(returnTo(answer, { kind: "lost", ...lost }));
  }

  /** Stops work on all stages; the KV caches are kept for a while. */
  function stop(
    sequence: Sequence,
    options: {
      readonly reason: string;
      readonly takenOver?: boolean;
      readonly ended?: SequenceEnd;
    },
  ): void {
    const { reason, takenOver = false, ended = null } = options;
    const { emit, request } = sequence;
    table.park(sequence, ended);
    if (!emit) return;
    const { attempt } = request;
    void emit({ type: "cancelled", attempt, takenOver, reason });
    closeLaterStages(sequence, { drop: ended !== null });
  }

  function closeLaterStages(
    { request, stage }: Sequence,
    { drop }: { readonly drop: boolean },
  ): void {
    const { requestId, attempt } = request;
    dispatch(
      request.stages.slice(stage + 1).map(({ address }) => ({
        to: address,
        message: { type: "close", requestId, attempt, drop },
      })),
    );
  }

  const { host, port } = settings.address;
  return startJsonServer({ host, port, handle });
}

/** The step of the next stage, which may need only the last outputs. */
function nextStep(
  step: StepMessage,
  options: {
    readonly answer: AttemptRequest;
    readonly outputs: readonly number[];
  },
): StepMessage {
  const { answer, outputs } = options;
  const stage = step.stage + 1;
  const start = startPosition(answer, stage);
  const skipped = Math.max(0, start - step.position);
  const position = step.position + skipped;
  const { requestId, attempt } = step;
  return {
    type: "step",
    requestId,
    attempt,
    stage,
    position,
    inputs: outputs.slice(skipped),
    ...(position === start ? { open: answer } : {}),
  };
}

function returnTo(
  answer: AttemptRequest,
  result: ReturnMessage["result"],
): Outgoing[] {
  const { requestId, attempt, stages } = answer;
  const [first] = stages;
  if (!first) return [];
  const message: ReturnMessage = { type: "return", requestId, attempt, result };
  return [{ to: first.address, message }];
}
