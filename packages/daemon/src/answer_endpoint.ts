/** Answers of models: from the request to the last event. */
import {
  type CallFailure,
  type ResumeDependencies,
  runAnswer,
} from "@rosemarypin/calls";
import type { SharedLimits } from "@rosemarypin/limits";
import type { AnswerRequest, Settings } from "@rosemarypin/schemas";
import {
  createLogger,
  type Metrics,
  type ServiceLevelCounter,
} from "@rosemarypin/telemetry";
import {
  checkJsonType,
  parseAnswer,
  parseDeadlineMs,
  parsePriority,
} from "./answer_request.ts";
import {
  type AnswerEnd,
  type AnswerStyle,
  sendStream,
  sendWhole,
} from "./answer_stream.ts";
import {
  callerRequestId,
  type Exchange,
  modelLabel,
  refuseByLimit,
  takeBody,
} from "./exchange.ts";
import { sendFailure } from "./http_basics.ts";
import type { BodyMemory } from "./request_body.ts";
import {
  factsOfFailure,
  type RememberedRequest,
  type RequestMemory,
} from "./request_memory.ts";

const log = createLogger("callers");

export interface AnswerEndpointOptions {
  readonly settings: Settings;
  readonly answers: ResumeDependencies;
  readonly metrics: Metrics;
  readonly levels: ServiceLevelCounter;
  readonly memory: BodyMemory;
  readonly requests: RequestMemory;
  readonly limits: SharedLimits;
}

/** Creates the endpoint of both kinds of completion. */
export function createAnswerEndpoint(options: AnswerEndpointOptions) {
  const { settings, metrics, levels } = options;
  const { firstTokenMs, betweenTokensMs } = settings.objectives;

  /** The request in our own form, or `null` once its refusal was sent. */
  async function parse(exchange: Exchange, style: AnswerStyle) {
    const { request, response, requestId, organisation } = exchange;
    const refuse = (failure: CallFailure) => {
      sendFailure(response, failure, { requestId });
      return null;
    };
    const badType = checkJsonType(request);
    if (badType) return refuse(badType);
    const { work, defaultDeadlineMs } = settings;
    const ranked = parsePriority(request, { organisation, work });
    if (ranked.kind === "invalid") return refuse(ranked.failure);
    const body = await takeBody(exchange, {
      limit: settings.limits.bodyBytes,
      memory: options.memory,
    });
    if (!body) return null;
    const parsed = parseAnswer(body, style);
    if (parsed.kind === "invalid") return refuse(parsed.failure);
    const answerRequest: AnswerRequest = {
      ...parsed.value,
      requestId,
      organisation: organisation.name,
      weight: organisation.weight,
      priority: ranked.priority,
      deadlineAt: Date.now() + parseDeadlineMs(request, defaultDeadlineMs),
    };
    return { answerRequest, stream: parsed.stream };
  }

  async function answer(exchange: Exchange, style: AnswerStyle): Promise<void> {
    const parsed = await parse(exchange, style);
    if (!parsed) return;
    const { answerRequest, stream } = parsed;
    const { response, requestId } = exchange;
    const tokens = answerRequest.maxTokens;
    if (refuseByLimit(exchange, { ...options, tokens })) return;
    const left = new AbortController();
    response.once("close", () => left.abort());
    exchange.handedOn = true;
    const remembered = remember(exchange, answerRequest);
    const events = runAnswer(answerRequest, {
      ...options.answers,
      signal: left.signal,
    });
    const timed = timeTokens(events, { answerRequest, remembered });
    const { model } = answerRequest;
    const { readerStallMs } = settings.limits;
    const output = { response, requestId, model, style, readerStallMs };
    const end = stream
      ? await sendStream(timed, output)
      : await sendWhole(timed, output);
    finish(exchange, { answerRequest, remembered, end });
  }

  function remember(
    { request }: Exchange,
    { requestId, model, organisation, priority }: AnswerRequest,
  ): RememberedRequest {
    return options.requests.begin({
      kind: "answer",
      requestId,
      callerRequestId: callerRequestId(request),
      name: model,
      organisation,
      priority,
    });
  }

  async function* timeTokens(
    events: ReturnType<typeof runAnswer>,
    followed: {
      readonly answerRequest: AnswerRequest;
      readonly remembered: RememberedRequest;
    },
  ) {
    const { remembered, answerRequest } = followed;
    const { model, organisation } = answerRequest;
    let last = performance.now();
    let first = true;
    let tokens = 0;
    for await (const event of events) {
      const now = performance.now();
      if (event.type === "token") {
        const metric = first ? metrics.firstToken : metrics.betweenTokens;
        metric.observe({ model }, (now - last) / 1_000);
        const objective = first ? "firstToken" : "betweenTokens";
        const limitMs = first ? firstTokenMs : betweenTokensMs;
        const key = { objective, organisation, name: model } as const;
        levels.count(key, now - last <= limitMs);
        if (first) remembered.note({ firstTokenMs: Math.round(now - last) });
        tokens += 1;
        first = false;
        last = now;
      }
      if (event.type === "failed" && first) countRefusal(event.failure);
      if (event.type !== "token") remembered.note({ tokens });
      yield event;
    }

    /** An answer that we could not give has missed its first token too. */
    function countRefusal({ status, outcome }: CallFailure): void {
      if (status < 500 || outcome === "withdrawn") return;
      const key = {
        objective: "firstToken",
        organisation,
        name: model,
      } as const;
      levels.count(key, false);
    }
  }

  function finish(
    { request }: Exchange,
    ended: {
      readonly answerRequest: AnswerRequest;
      readonly remembered: RememberedRequest;
      readonly end: AnswerEnd;
    },
  ): void {
    const { answerRequest, remembered, end } = ended;
    remembered.end(factsOfEnd(end));
    const { requestId, organisation, model } = answerRequest;
    const outcome = end.kind === "failed" ? end.failure.outcome : end.kind;
    metrics.requests.inc({
      kind: "answer",
      name: modelLabel(model, options.answers.keeper),
      outcome,
    });
    log.info("answer_ended", {
      request: requestId,
      caller_request: callerRequestId(request),
      organisation,
      model,
      outcome,
      version: end.kind === "done" ? end.provenance.version : undefined,
      attempts: end.kind === "done" ? end.provenance.attempts : undefined,
      code: end.kind === "failed" ? end.failure.code : undefined,
    });
  }

  return answer;
}

/** What of an answer's end is worth remembering. */
export function factsOfEnd(end: AnswerEnd) {
  switch (end.kind) {
    case "failed":
      return factsOfFailure(end.failure);
    case "caller_left":
      return { outcome: end.kind };
    case "done": {
      const { version, noteNumber, attempts } = end.provenance;
      return { outcome: end.kind, version, noteNumber, attempts };
    }
  }
}
