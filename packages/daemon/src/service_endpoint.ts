/** Calls of plain services: from the request to the whole answer. */
import { isBodiless } from "@rosemarypin/backends";
import type { ServiceCall, ServiceCallResult } from "@rosemarypin/calls";
import type { SharedLimits } from "@rosemarypin/limits";
import type { Settings } from "@rosemarypin/schemas";
import {
  createLogger,
  type Metrics,
  type ServiceLevelCounter,
} from "@rosemarypin/telemetry";
import { parseDeadlineMs } from "./answer_request.ts";
import { badKey } from "./caller_failures.ts";
import {
  callerRequestId,
  type Exchange,
  refuseByLimit,
  serviceLabel,
  takeBody,
} from "./exchange.ts";
import { sendFailure } from "./http_basics.ts";
import type { BodyMemory } from "./request_body.ts";
import { factsOfFailure, type RequestMemory } from "./request_memory.ts";
import { isIdempotencyKey, parseServicePath } from "./service_request.ts";

const log = createLogger("callers");

export interface ServiceEndpointOptions {
  readonly settings: Settings;
  readonly callService: (call: ServiceCall) => Promise<ServiceCallResult>;
  readonly metrics: Metrics;
  readonly levels: ServiceLevelCounter;
  readonly memory: BodyMemory;
  readonly requests: RequestMemory;
  readonly limits: SharedLimits;
}

/** What the caller sent, in the form that the calls take. */
interface Parsed {
  readonly service: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly body: Buffer;
}

/** Creates the endpoint of all plain services. */
export function createServiceEndpoint(options: ServiceEndpointOptions) {
  const { settings } = options;

  async function parse(exchange: Exchange): Promise<Parsed | null> {
    const { request, response, requestId } = exchange;
    const place = parseServicePath(request.url ?? "");
    if (place.kind === "invalid") {
      sendFailure(response, place.failure, { requestId });
      return null;
    }
    const header = request.headers["idempotency-key"];
    const key = header === undefined ? undefined : String(header);
    if (key !== undefined && !isIdempotencyKey(key)) {
      sendFailure(response, badKey(), { requestId });
      return null;
    }
    const body = await takeBody(exchange, {
      limit: settings.limits.bodyBytes,
      memory: options.memory,
    });
    const { service, path } = place;
    return body && { service, path, key, body };
  }

  return async (exchange: Exchange): Promise<void> => {
    const parsed = await parse(exchange);
    if (!parsed) return;
    if (refuseByLimit(exchange, { ...options, tokens: 0 })) return;
    exchange.handedOn = true;
    const remembered = options.requests.begin({
      kind: "service_call",
      requestId: exchange.requestId,
      callerRequestId: callerRequestId(exchange.request),
      name: parsed.service,
      organisation: exchange.organisation.name,
    });
    const result = await options.callService(
      describeCall(exchange, { ...parsed, settings }),
    );
    remembered.end(factsOf(result));
    count(exchange, { ...options, parsed, result });
    sendResult(exchange, result);
  };
}

function describeCall(
  { request, requestId, organisation }: Exchange,
  parsed: Parsed & { readonly settings: Settings },
): ServiceCall {
  const { service, path, key, body, settings } = parsed;
  const contentType = request.headers["content-type"];
  const deadlineMs = parseDeadlineMs(request, settings.defaultDeadlineMs);
  const headers = {
    "x-request-id": requestId,
    "x-organisation": organisation.name,
    ...(key === undefined ? {} : { "idempotency-key": key }),
    ...(contentType === undefined ? {} : { "content-type": contentType }),
  };
  return {
    requestId,
    deadlineAt: Date.now() + deadlineMs,
    organisation: organisation.name,
    service,
    idempotencyKey: key,
    request: { method: request.method ?? "GET", path, headers, body },
  };
}

function count(
  { request, requestId, organisation }: Exchange,
  ended: ServiceEndpointOptions & {
    readonly parsed: Parsed;
    readonly result: ServiceCallResult;
  },
): void {
  const { parsed, result, settings, metrics, levels } = ended;
  const { service, key } = parsed;
  const outcome = result.kind === "answer" ? "done" : result.failure.outcome;
  const name = serviceLabel(service, settings);
  if (key !== undefined) {
    const booking = {
      objective: "booking",
      organisation: organisation.name,
      name,
    } as const;
    levels.count(booking, outcome !== "outcome_unknown");
  }
  metrics.requests.inc({ kind: "service", name, outcome });
  log.info("service_call_ended", {
    request: requestId,
    caller_request: callerRequestId(request),
    organisation: organisation.name,
    service,
    outcome,
    code: result.kind === "failed" ? result.failure.code : undefined,
  });
}

function factsOf(result: ServiceCallResult) {
  if (result.kind === "failed") return factsOfFailure(result.failure);
  const { answer, repeated } = result;
  return { outcome: "done", status: answer.status, repeated };
}

function sendResult(
  { response, requestId }: Exchange,
  result: ServiceCallResult,
): void {
  if (result.kind === "failed") {
    return sendFailure(response, result.failure, { requestId });
  }
  const { status, contentType, body, isDelimited } = result.answer;
  const hasBody = !isBodiless(response.req.method ?? "", status);
  // Only the connection's end marks the end of this one, as it was received.
  const isUndelimited = hasBody && !isDelimited;
  if (isUndelimited) response.useChunkedEncodingByDefault = false;
  response.writeHead(status, {
    "content-type": contentType,
    "x-request-id": requestId,
    ...(result.repeated ? { "idempotent-replayed": "true" } : {}),
    ...(isUndelimited ? { connection: "close" } : {}),
    ...(hasBody && isDelimited ? { "content-length": body.length } : {}),
  });
  response.end(body);
}
