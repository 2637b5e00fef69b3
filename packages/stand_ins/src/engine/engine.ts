/**
 * Stand-in of a model engine: holds a range of layers, batches continuously,
 * passes outputs to the next stage, and streams tokens from the first stage.
 */
import type { Server, ServerResponse } from "node:http";
import {
  type Address,
  attemptRequestSchema,
  type EngineEvent,
  type EngineOrder,
  type EngineState,
  engineOrderSchema,
  formatAddress,
} from "@rosemarypin/schemas";
import { Agent, request } from "undici";
import { type JsonExchange, reply, startJsonServer } from "../http_json.ts";
import type { EngineStandInSettings } from "../stand_in_settings.ts";
import { embed } from "./layer_math.ts";
import {
  firstInputs,
  openSequence,
  runStage,
  type Sequence,
  takeOutputs,
} from "./sequence.ts";
import { batchDurationMs, createBatchClock } from "./speed.ts";
import type { EngineMessage, ReturnMessage, StepMessage } from "./step.ts";

const SEND_TIMEOUT_MS = 1_000;

/** Starts an engine that holds nothing until it is ordered to. */
export async function startEngine(
  settings: EngineStandInSettings,
): Promise<Server> {
  const agent = new Agent({ connect: { timeout: SEND_TIMEOUT_MS } });
  const sequences = new Map<string, Sequence>();
  const inbox: StepMessage[] = [];
  let order: EngineOrder = {
    fencingNumber: 0,
    noteNumber: 0,
    hold: [],
    adapters: [],
  };
  let leaving = false;
  let isBatching = false;
  const clock = createBatchClock();

  function handle(exchange: JsonExchange): void {
    const { method, url, response, body } = exchange;
    const call = `${method} ${url.pathname}`;
    if (call === "GET /state") return reply(response, 200, state());
    if (call === "POST /attempts") return startAttempt(exchange);
    if (call === "POST /steps") {
      reply(response, 200, {});
      for (const message of body as EngineMessage[]) receive(message);
      return;
    }
    if (call === "POST /order") return takeOrder(exchange);
    if (call === "POST /leave") {
      leaving = true;
      return reply(response, 200, state());
    }
    const cancel = /^POST \/attempts\/([^/]+)\/cancel$/.exec(call);
    if (cancel?.[1]) {
      end(decodeURIComponent(cancel[1]), "cancelled by the caller");
      return reply(response, 200, {});
    }
    reply(response, 404, { error: `no ${call}` });
  }

  function state(): EngineState {
    const running = new Map<string, EngineState["running"][number]>();
    for (const { request: answer } of sequences.values()) {
      const { model, version } = answer;
      const key = `${model}/${version}`;
      const count = (running.get(key)?.count ?? 0) + 1;
      running.set(key, { model, version, count });
    }
    return {
      engine: settings.id,
      accelerator: settings.accelerator,
      failureDomain: settings.failureDomain,
      roles: settings.roles,
      fencingNumber: order.fencingNumber,
      noteNumber: order.noteNumber,
      held: order.hold,
      adapters: order.adapters,
      running: [...running.values()],
      leaving,
      load: sequences.size,
    };
  }

  function takeOrder({ response, body }: JsonExchange): void {
    const next = engineOrderSchema.parse(body);
    const isOld = next.fencingNumber < order.fencingNumber;
    if (settings.checksFencing && isOld) {
      return reply(response, 409, { fencingNumber: order.fencingNumber });
    }
    order = next;
    for (const [id, { request: answer }] of sequences) {
      if (!holds(answer.model, answer.version)) end(id, "no longer held");
    }
    reply(response, 200, state());
  }

  function holds(model: string, version: string): boolean {
    return order.hold.some(
      (held) => held.model === model && held.version === version,
    );
  }

  function startAttempt({ response, body }: JsonExchange): void {
    const attempt = attemptRequestSchema.parse(body);
    const refusal = refuse(attempt);
    if (refusal) return reply(response, 409, { error: refusal });
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    const emit = (event: EngineEvent) => writeEvent(response, event);
    const sequence = openSequence(attempt, { stage: 0, emit });
    sequences.set(attempt.requestId, sequence);
    response.once("close", () => {
      if (sequences.get(attempt.requestId) === sequence) {
        end(attempt.requestId, "the caller left");
      }
    });
    emit({ type: "started", attempt: attempt.attempt });
    enqueue(sequence, { position: 0, inputs: firstInputs(attempt) });
  }

  function refuse(attempt: {
    readonly requestId: string;
    readonly attempt: number;
    readonly model: string;
    readonly version: string;
  }): string | null {
    if (leaving) return "leaving";
    if (!holds(attempt.model, attempt.version)) return "version not held";
    const running = sequences.get(attempt.requestId);
    if (running && running.request.attempt >= attempt.attempt) {
      return "a later attempt runs";
    }
    if (running) end(attempt.requestId, "replaced by a later attempt");
    return null;
  }

  function receive(message: EngineMessage): void {
    const sequence = sequences.get(message.requestId);
    if (message.type === "step") {
      if (message.open) openFor(message);
      inbox.push(message);
      return void batch();
    }
    if (!sequence || sequence.request.attempt !== message.attempt) return;
    if (message.type === "close") sequences.delete(message.requestId);
    else takeReturn(sequence, message);
  }

  /** Opens a later stage's sequence, unless a later attempt runs. */
  function openFor(message: StepMessage): void {
    const { open, stage } = message;
    if (!open) return;
    const running = sequences.get(open.requestId);
    if (running && running.request.attempt >= open.attempt) return;
    if (!holds(open.model, open.version)) {
      return sendLost(open, { stage, reason: "version not held" });
    }
    sequences.set(open.requestId, openSequence(open, { stage, emit: null }));
  }

  function takeReturn(sequence: Sequence, { result }: ReturnMessage): void {
    const { emit, request: answer } = sequence;
    const { attempt, requestId } = answer;
    if (!emit) return;
    if (result.kind === "lost") {
      const { stage, reason } = result;
      emit({ type: "stage_lost", attempt, stage, reason });
      return end(requestId, "a stage was lost");
    }
    const { index, text, digest, isStop } = result;
    emit({ type: "token", attempt, index, text, digest });
    if (isStop || index + 1 >= answer.maxTokens) {
      emit({ type: "done", attempt, reason: isStop ? "stop" : "length" });
      return end(requestId, "done");
    }
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
      const messages = steps.flatMap(runStep);
      dispatch(messages);
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
    const sequence = sequences.get(step.requestId);
    if (!sequence || sequence.request.attempt !== step.attempt) return [];
    if (step.position !== sequence.nextPosition) return [];
    const { request: answer, stage } = sequence;
    const outputs = runStage(sequence, step.inputs);
    const next = answer.stages[stage + 1];
    if (next) {
      const isFirst = step.position === 0;
      const message: StepMessage = {
        ...step,
        stage: stage + 1,
        inputs: outputs,
        ...(isFirst ? { open: answer } : {}),
      };
      return [{ to: next.address, message }];
    }
    const result = takeOutputs(sequence, outputs);
    const first = answer.stages[0];
    if (!result || !first) return [];
    const { requestId, attempt } = answer;
    const message: ReturnMessage = {
      type: "return",
      requestId,
      attempt,
      result,
    };
    return [{ to: first.address, message }];
  }

  /** Sends all messages for one engine in one call. */
  function dispatch(outgoing: readonly Outgoing[]): void {
    const byAddress = new Map<string, EngineMessage[]>();
    for (const { to, message } of outgoing) {
      const address = formatAddress(to);
      const messages = byAddress.get(address) ?? [];
      messages.push(message);
      byAddress.set(address, messages);
    }
    for (const [address, messages] of byAddress) void send(address, messages);
  }

  async function send(
    address: string,
    messages: readonly EngineMessage[],
  ): Promise<void> {
    if (address === formatAddress(settings.address)) {
      for (const message of messages) receive(message);
      return;
    }
    await sleep(settings.speed.linkMs);
    try {
      const response = await request(`http://${address}/steps`, {
        dispatcher: agent,
        method: "POST",
        body: JSON.stringify(messages),
        signal: AbortSignal.timeout(SEND_TIMEOUT_MS),
      });
      await response.body.dump();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      for (const message of messages) reportUnsent(message, reason);
    }
  }

  function reportUnsent(message: EngineMessage, reason: string): void {
    if (message.type !== "step") return;
    const sequence = sequences.get(message.requestId);
    if (sequence?.request.attempt !== message.attempt) return;
    sendLost(sequence.request, { stage: message.stage, reason });
  }

  /** Tells the first stage that a later one cannot go on. */
  function sendLost(
    answer: Sequence["request"],
    lost: { readonly stage: number; readonly reason: string },
  ): void {
    const { requestId, attempt, stages } = answer;
    const first = stages[0];
    if (!first) return;
    const result = { kind: "lost" as const, ...lost };
    const message: ReturnMessage = {
      type: "return",
      requestId,
      attempt,
      result,
    };
    void send(formatAddress(first.address), [message]);
  }

  /** Ends a sequence here, and on later stages if this is the first. */
  function end(requestId: string, reason: string): void {
    const sequence = sequences.get(requestId);
    if (!sequence) return;
    sequences.delete(requestId);
    const { emit, request: answer } = sequence;
    if (!emit) return;
    emit({ type: "cancelled", attempt: answer.attempt, reason });
    const { attempt } = answer;
    dispatch(
      answer.stages.slice(1).map(({ address }) => ({
        to: address,
        message: { type: "close", requestId, attempt },
      })),
    );
  }

  const { host, port } = settings.address;
  return startJsonServer({ host, port, handle });
}

interface Outgoing {
  readonly to: Address;
  readonly message: EngineMessage;
}

function writeEvent(response: ServerResponse, event: EngineEvent): void {
  if (response.destroyed || response.writableEnded) return;
  response.write(`${JSON.stringify(event)}\n`);
  const isLast =
    event.type === "done" ||
    event.type === "cancelled" ||
    event.type === "stage_lost";
  if (isLast) response.end();
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
