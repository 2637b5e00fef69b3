/** The callers' HTTP interface. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  badCall,
  type CallFailure,
  notRun,
  outcomeUnknown,
  type ResumeDependencies,
  runAnswer,
  type ServiceCall,
  type ServiceCallResult,
} from "@rosemarypin/calls";
import {
  type AnswerRequest,
  chatRequestSchema,
  completionRequestSchema,
  type Organisation,
  type Priority,
  prioritySchema,
  type Settings,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { z } from "zod";
import { readResumePath, resume } from "./answer_resume.ts";
import {
  type AnswerEnd,
  type AnswerStyle,
  sendStream,
  sendWhole,
} from "./answer_stream.ts";
import { createAuthenticator } from "./authentication.ts";
import { readBody, sendFailure, sendJson, startServer } from "./http_basics.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
const REFUSAL_RETRY_SECONDS = 2;

const log = createLogger("callers");

export interface CallerServerOptions {
  readonly settings: Settings;
  readonly answers: ResumeDependencies;
  readonly callService: (call: ServiceCall) => Promise<ServiceCallResult>;
  readonly metrics: Metrics;
  readonly work: WorkInProgress;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly organisation: Organisation;
  /** Set once work was handed on, which from then on may have run. */
  handedOn: boolean;
}

/** Starts to take calls at the callers' address. */
export function startCallerServer(
  options: CallerServerOptions,
): Promise<Server> {
  const { settings, metrics, work } = options;
  const authenticate = createAuthenticator(settings.organisations);

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomUUID();
    response.on("error", () => response.destroy());
    const organisation = authenticate(request);
    if (!organisation) {
      return sendFailure(response, wrongKey(), { requestId });
    }
    const end = work.begin();
    const exchange: Exchange = {
      request,
      response,
      requestId,
      organisation,
      handedOn: false,
    };
    try {
      await route(exchange);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn("internal_error", { request: requestId, reason });
      if (response.headersSent) response.destroy();
      sendFailure(response, internalError(exchange), { requestId });
    } finally {
      end();
    }
  }

  async function route(exchange: Exchange): Promise<void> {
    const { request, response, requestId } = exchange;
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    if (path === "/v1/models" && request.method === "GET") {
      return listModels(exchange);
    }
    const isPost = request.method === "POST";
    if (path === "/v1/chat/completions" && isPost) {
      return answer(exchange, "chat");
    }
    if (path === "/v1/completions" && isPost) return answer(exchange, "text");
    const resumed = readResumePath(request);
    if (resumed) {
      return resume({ ...exchange, requestId: resumed }, options.answers);
    }
    if (path.startsWith("/services/")) return callService(exchange);
    sendFailure(response, unknownPath(request), { requestId });
  }

  function listModels({ response }: Exchange): void {
    const models = options.answers.keeper.current()?.catalogue.models ?? {};
    const data = Object.entries(models)
      .filter(([, model]) => model.serve.length > 0)
      .map(([id, model]) => ({
        id,
        object: "model",
        owned_by: settings.deployment,
        version: model.serve[0],
        adapters: model.adapters,
      }));
    sendJson(response, 200, { body: { object: "list", data } });
  }

  async function answer(exchange: Exchange, style: AnswerStyle): Promise<void> {
    const { request, response, requestId, organisation } = exchange;
    const body = await takeBody(exchange);
    if (!body) return;
    const parsed = parseAnswer(body, style);
    if (parsed.kind === "invalid") {
      return sendFailure(response, parsed.failure, { requestId });
    }
    const left = new AbortController();
    response.once("close", () => left.abort());
    const answerRequest: AnswerRequest = {
      ...parsed.value,
      requestId,
      organisation: organisation.name,
      weight: organisation.weight,
      priority: priorityOf(request, organisation),
      deadlineAt: Date.now() + deadlineMs(request, settings),
    };
    exchange.handedOn = true;
    const events = runAnswer(answerRequest, {
      ...options.answers,
      signal: left.signal,
    });
    const output = { response, requestId, model: answerRequest.model, style };
    const timed = timeTokens(events, answerRequest);
    const end = parsed.stream
      ? await sendStream(timed, output)
      : await sendWhole(timed, output);
    finish(answerRequest, end);
  }

  async function* timeTokens(
    events: ReturnType<typeof runAnswer>,
    { model, organisation }: AnswerRequest,
  ) {
    let last = performance.now();
    let first = true;
    for await (const event of events) {
      const now = performance.now();
      if (event.type === "token") {
        const metric = first ? metrics.firstToken : metrics.betweenTokens;
        metric.observe({ model, organisation }, (now - last) / 1_000);
        first = false;
        last = now;
      }
      yield event;
    }
  }

  function finish(answerRequest: AnswerRequest, end: AnswerEnd): void {
    const { requestId, organisation, model } = answerRequest;
    const outcome = end.kind === "failed" ? end.failure.outcome : end.kind;
    metrics.requests.inc({
      kind: "answer",
      name: model,
      organisation,
      outcome,
    });
    log.info("answer_ended", {
      request: requestId,
      organisation,
      model,
      outcome,
      version: end.kind === "done" ? end.provenance.version : undefined,
      attempts: end.kind === "done" ? end.provenance.attempts : undefined,
      code: end.kind === "failed" ? end.failure.code : undefined,
    });
  }

  async function callService(exchange: Exchange): Promise<void> {
    const { request, response, requestId, organisation } = exchange;
    const [, , service = "", ...rest] = (request.url ?? "").split("/");
    const key = request.headers["idempotency-key"];
    if (key !== undefined && !KEY_PATTERN.test(String(key))) {
      return sendFailure(response, badKey(), { requestId });
    }
    const body = await takeBody(exchange);
    if (!body) return;
    const contentType = request.headers["content-type"];
    const deadlineAt = Date.now() + deadlineMs(request, settings);
    exchange.handedOn = true;
    const result = await options.callService({
      requestId,
      deadlineAt,
      organisation: organisation.name,
      service,
      idempotencyKey: key === undefined ? undefined : String(key),
      request: {
        method: request.method ?? "GET",
        path: `/${rest.join("/")}`,
        headers: {
          "x-request-id": requestId,
          "x-organisation": organisation.name,
          ...(key === undefined ? {} : { "idempotency-key": String(key) }),
          ...(contentType === undefined ? {} : { "content-type": contentType }),
        },
        body,
      },
    });
    const outcome = result.kind === "answer" ? "done" : result.failure.outcome;
    metrics.requests.inc({
      kind: "service",
      name: service,
      organisation: organisation.name,
      outcome,
    });
    log.info("service_call_ended", { request: requestId, service, outcome });
    if (result.kind === "failed") {
      return sendFailure(response, result.failure, { requestId });
    }
    response.writeHead(result.answer.status, {
      "content-type": result.answer.contentType,
      "x-request-id": requestId,
      ...(result.repeated ? { "idempotent-replayed": "true" } : {}),
    });
    response.end(result.answer.body);
  }

  async function takeBody(exchange: Exchange): Promise<Buffer | null> {
    const { request, response, requestId } = exchange;
    const result = await readBody(request, settings.limits.bodyBytes);
    if (result.kind === "body") return result.body;
    if (result.kind === "too_large") {
      response.setHeader("connection", "close");
      sendFailure(response, tooLarge(settings), { requestId });
    }
    return null;
  }

  return startServer(settings.instance.addresses.callers, {
    limits: settings.limits,
    handle: (request, response) => void handle(request, response),
  });
}

type ParsedAnswer =
  | {
      readonly kind: "valid";
      readonly stream: boolean;
      readonly value: Pick<
        AnswerRequest,
        "model" | "adapter" | "promptTokens" | "maxTokens"
      >;
    }
  | { readonly kind: "invalid"; readonly failure: CallFailure };

function parseAnswer(body: Buffer, style: AnswerStyle): ParsedAnswer {
  const json = parseJson(body);
  if (json === undefined) return invalid("the body is not JSON");
  if (style === "chat") {
    const parsed = chatRequestSchema.safeParse(json);
    if (!parsed.success) return invalid(z.prettifyError(parsed.error));
    const { messages } = parsed.data;
    const prompt = messages.map(({ role, content }) => `${role}: ${content}`);
    return valid(parsed.data, prompt.join("\n"));
  }
  const parsed = completionRequestSchema.safeParse(json);
  if (!parsed.success) return invalid(z.prettifyError(parsed.error));
  return valid(parsed.data, parsed.data.prompt);
}

function valid(
  data: {
    readonly model: string;
    readonly adapter?: string | undefined;
    readonly stream: boolean;
    readonly max_tokens: number;
  },
  prompt: string,
): ParsedAnswer {
  const promptTokens = prompt.split(/\s+/).filter((word) => word !== "");
  const { model, adapter, stream, max_tokens: maxTokens } = data;
  const value = { model, adapter, promptTokens, maxTokens };
  return { kind: "valid", stream, value };
}

function invalid(message: string): ParsedAnswer {
  const failure = badCall("bad_request", { message, status: 400 });
  return { kind: "invalid", failure };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

/** A caller may ask for less urgency than its organisation has, not more. */
function priorityOf(
  request: IncomingMessage,
  organisation: Organisation,
): Priority {
  const asked = prioritySchema.safeParse(request.headers["x-priority"]);
  if (!asked.success) return organisation.priority;
  const order = prioritySchema.options;
  const index = Math.max(
    order.indexOf(asked.data),
    order.indexOf(organisation.priority),
  );
  return order[index] ?? organisation.priority;
}

function deadlineMs(request: IncomingMessage, settings: Settings): number {
  const asked = Number(request.headers["x-deadline-ms"]);
  const isUsable = Number.isFinite(asked) && asked > 0;
  return isUsable
    ? Math.min(asked, settings.defaultDeadlineMs)
    : settings.defaultDeadlineMs;
}

function wrongKey(): CallFailure {
  return badCall("wrong_key", {
    message: "send your organisation's key as 'authorization: Bearer KEY'",
    status: 401,
  });
}

function badKey(): CallFailure {
  return badCall("bad_key", {
    message: "idempotency-key must be 1 to 128 printable characters",
    status: 400,
  });
}

function unknownPath(request: IncomingMessage): CallFailure {
  return badCall("unknown_path", {
    message: `there is no ${request.method} ${request.url}; see docs/openapi`,
    status: 404,
  });
}

function tooLarge(settings: Settings): CallFailure {
  return badCall("body_too_large", {
    message: `a body may have ${settings.limits.bodyBytes} bytes`,
    status: 413,
  });
}

/** After work was handed on, `not_run` could be untrue. */
function internalError({ handedOn }: Exchange): CallFailure {
  if (handedOn) {
    const message = "something broke in this instance; the call may have run";
    return outcomeUnknown("internal_error", message);
  }
  return notRun("internal_error", {
    message: "something broke in this instance; ask again",
    retryAfterSeconds: REFUSAL_RETRY_SECONDS,
  });
}
