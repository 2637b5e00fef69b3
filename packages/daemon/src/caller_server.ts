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
import type {
  AnswerRequest,
  Organisation,
  Settings,
} from "@rosemarypin/schemas";
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
import { readResumePath, resume } from "./answer_resume.ts";
import {
  type AnswerEnd,
  type AnswerStyle,
  sendStream,
  sendWhole,
} from "./answer_stream.ts";
import { createAuthenticator } from "./authentication.ts";
import { sendFailure, sendJson } from "./http_basics.ts";
import { startServer } from "./http_server.ts";
import { createBodyMemory, readBody } from "./request_body.ts";
import { isIdempotencyKey, parseServicePath } from "./service_request.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

const CALLER_ID = /^[\x21-\x7e]{1,128}$/;
/** Label of what no settings and no note name. */
const UNKNOWN_NAME = "unknown";
const REFUSAL_RETRY_SECONDS = 2;

const log = createLogger("callers");

export interface CallerServerOptions {
  readonly settings: Settings;
  readonly answers: ResumeDependencies;
  readonly callService: (call: ServiceCall) => Promise<ServiceCallResult>;
  readonly metrics: Metrics;
  readonly levels: ServiceLevelCounter;
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

interface Endpoint {
  readonly method: "GET" | "POST";
  run(exchange: Exchange): Promise<void>;
}

/** Starts to take calls at the callers' address. */
export function startCallerServer(
  options: CallerServerOptions,
): Promise<Server> {
  const { settings, metrics, levels, work } = options;
  const { firstTokenMs, betweenTokensMs } = settings.objectives;
  const authenticate = createAuthenticator(settings.organisations);
  const memory = createBodyMemory(settings.limits.bodiesBytes);

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomUUID();
    const callerId = callerRequestId(request);
    if (callerId) response.setHeader("x-caller-request-id", callerId);
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
    metrics.inFlight.set(work.count());
    try {
      await route(exchange);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn("internal_error", { request: requestId, reason });
      if (response.headersSent) response.destroy();
      sendFailure(response, internalError(exchange), { requestId });
    } finally {
      end();
      metrics.inFlight.set(work.count());
    }
  }

  async function route(exchange: Exchange): Promise<void> {
    const { request, response, requestId } = exchange;
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    const resumed = readResumePath(request);
    if (resumed) {
      const { readerStallMs } = settings.limits;
      const own = { ...exchange, requestId: resumed, readerStallMs };
      return resume(own, options.answers);
    }
    if (path.startsWith("/services/")) return callService(exchange);
    const endpoint = endpoints.get(path);
    if (!endpoint) return sendFailure(response, unknownPath(), { requestId });
    if (request.method === endpoint.method) return endpoint.run(exchange);
    response.setHeader("allow", endpoint.method);
    sendFailure(response, wrongMethod(endpoint.method), { requestId });
  }

  const endpoints: ReadonlyMap<string, Endpoint> = new Map([
    ["/v1/models", { method: "GET", run: async (call) => listModels(call) }],
    [
      "/v1/chat/completions",
      { method: "POST", run: (call) => answer(call, "chat") },
    ],
    [
      "/v1/completions",
      { method: "POST", run: (call) => answer(call, "text") },
    ],
  ]);

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
    const badType = checkJsonType(request);
    if (badType) return sendFailure(response, badType, { requestId });
    const { work: kinds, defaultDeadlineMs } = settings;
    const ranked = parsePriority(request, { organisation, work: kinds });
    if (ranked.kind === "invalid") {
      return sendFailure(response, ranked.failure, { requestId });
    }
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
      priority: ranked.priority,
      deadlineAt: Date.now() + parseDeadlineMs(request, defaultDeadlineMs),
    };
    exchange.handedOn = true;
    const events = runAnswer(answerRequest, {
      ...options.answers,
      signal: left.signal,
    });
    const output = {
      response,
      requestId,
      model: answerRequest.model,
      style,
      readerStallMs: settings.limits.readerStallMs,
    };
    const timed = timeTokens(events, answerRequest);
    const end = parsed.stream
      ? await sendStream(timed, output)
      : await sendWhole(timed, output);
    finish(exchange, { answerRequest, end });
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
        metric.observe({ model }, (now - last) / 1_000);
        const objective = first ? "firstToken" : "betweenTokens";
        const limitMs = first ? firstTokenMs : betweenTokensMs;
        const key = { objective, organisation, name: model } as const;
        levels.count(key, now - last <= limitMs);
        first = false;
        last = now;
      }
      if (event.type === "failed" && first) countRefusal(event.failure);
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
    ended: { readonly answerRequest: AnswerRequest; readonly end: AnswerEnd },
  ): void {
    const { answerRequest, end } = ended;
    const { requestId, organisation, model } = answerRequest;
    const outcome = end.kind === "failed" ? end.failure.outcome : end.kind;
    metrics.requests.inc({
      kind: "answer",
      name: knownModel(model),
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

  /**
   * A label for each name that callers think of would fill the memory with
   * metrics, one wrong name at a time.
   */
  function knownModel(model: string): string {
    const models = options.answers.keeper.current()?.catalogue.models ?? {};
    return Object.hasOwn(models, model) ? model : UNKNOWN_NAME;
  }

  function knownService(service: string): string {
    const isKnown = settings.services.some(({ name }) => name === service);
    return isKnown ? service : UNKNOWN_NAME;
  }

  async function callService(exchange: Exchange): Promise<void> {
    const { request, response, requestId, organisation } = exchange;
    const parsed = parseServicePath(request.url ?? "");
    if (parsed.kind === "invalid") {
      return sendFailure(response, parsed.failure, { requestId });
    }
    const { service, path } = parsed;
    const key = request.headers["idempotency-key"];
    if (key !== undefined && !isIdempotencyKey(String(key))) {
      return sendFailure(response, badKey(), { requestId });
    }
    const body = await takeBody(exchange);
    if (!body) return;
    const contentType = request.headers["content-type"];
    const deadlineAt =
      Date.now() + parseDeadlineMs(request, settings.defaultDeadlineMs);
    exchange.handedOn = true;
    const result = await options.callService({
      requestId,
      deadlineAt,
      organisation: organisation.name,
      service,
      idempotencyKey: key === undefined ? undefined : String(key),
      request: {
        method: request.method ?? "GET",
        path,
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
    if (key !== undefined) {
      const name = knownService(service);
      const booking = {
        objective: "booking",
        organisation: organisation.name,
        name,
      } as const;
      levels.count(booking, outcome !== "outcome_unknown");
    }
    metrics.requests.inc({
      kind: "service",
      name: knownService(service),
      outcome,
    });
    log.info("service_call_ended", {
      request: requestId,
      caller_request: callerRequestId(request),
      organisation: organisation.name,
      service,
      outcome,
      code: result.kind === "failed" ? result.failure.code : undefined,
    });
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
    const { response, requestId, organisation } = exchange;
    const result = await readBody(exchange, {
      limit: settings.limits.bodyBytes,
      memory,
      sender: organisation.name,
    });
    if (result.kind === "body") return result.body;
    if (result.kind === "refused") {
      sendFailure(response, result.failure, { requestId });
    }
    return null;
  }

  return startServer(settings.instance.addresses.callers, {
    limits: settings.limits,
    handle: (request, response) => void handle(request, response),
  });
}

/** The caller's own id of its request, if it can stand in a log line. */
function callerRequestId(request: IncomingMessage): string | undefined {
  const id = request.headers["x-request-id"];
  return typeof id === "string" && CALLER_ID.test(id) ? id : undefined;
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

function unknownPath(): CallFailure {
  return badCall("unknown_path", {
    message: "there is nothing at this path; see docs/openapi/callers.yaml",
    status: 404,
  });
}

function wrongMethod(allowed: string): CallFailure {
  return badCall("wrong_method", {
    message: `this path takes ${allowed} only`,
    status: 405,
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
