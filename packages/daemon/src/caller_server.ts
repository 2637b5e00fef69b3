/** The callers' HTTP interface. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  ResumeDependencies,
  ServiceCall,
  ServiceCallResult,
} from "@rosemarypin/calls";
import {
  type CallerServer,
  closeConnection,
  createCallerMemories,
} from "@rosemarypin/connections";
import type { SharedLimits } from "@rosemarypin/limits";
import type { Settings } from "@rosemarypin/schemas";
import {
  createLogger,
  type Metrics,
  type ServiceLevelCounter,
} from "@rosemarypin/telemetry";
import { createAnswerEndpoint } from "./answer_endpoint.ts";
import { readResumePath, resume } from "./answer_resume.ts";
import { createAuthenticator } from "./authentication.ts";
import {
  internalError,
  unknownPath,
  wrongKey,
  wrongMethod,
} from "./caller_failures.ts";
import { callerRequestId, type Exchange } from "./exchange.ts";
import { sendFailure, sendJson } from "./http_basics.ts";
import { startServer } from "./http_server.ts";
import { createBodyMemory } from "./request_body.ts";
import type { RequestMemory } from "./request_memory.ts";
import { createServiceEndpoint } from "./service_endpoint.ts";
import type { WorkInProgress } from "./work_in_progress.ts";

const log = createLogger("callers");

export interface CallerServerOptions {
  readonly settings: Settings;
  readonly answers: ResumeDependencies;
  readonly callService: (call: ServiceCall) => Promise<ServiceCallResult>;
  readonly metrics: Metrics;
  readonly levels: ServiceLevelCounter;
  readonly work: WorkInProgress;
  readonly requests: RequestMemory;
  readonly limits: SharedLimits;
  /** Whether callers are to leave for another instance. */
  readonly isDraining?: () => boolean;
}

interface Endpoint {
  readonly method: "GET" | "POST";
  run(exchange: Exchange): Promise<void>;
}

/** Starts to take calls at the callers' address. */
export function startCallerServer(
  options: CallerServerOptions,
): Promise<CallerServer> {
  const { settings, metrics, work } = options;
  const authenticate = createAuthenticator(settings.organisations);
  const memories = createCallerMemories({
    bodyBudgetBytes: settings.limits.bodiesBytes,
  });
  const memory = createBodyMemory(memories.bodies);
  const answer = createAnswerEndpoint({ ...options, memory });
  const callService = createServiceEndpoint({ ...options, memory });

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
      if (response.headersSent) closeConnection(response.socket, "exception");
      sendFailure(response, internalError(exchange.handedOn), { requestId });
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
      const { answers, requests } = options;
      return resume(own, { ...answers, requests });
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

  return startServer(settings.instance.addresses.callers, {
    limits: settings.limits,
    memories,
    handle: (request, response) => void handle(request, response),
    mayKeepOpen: () => !options.isDraining?.(),
  });
}
