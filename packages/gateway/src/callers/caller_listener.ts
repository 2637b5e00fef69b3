/** HTTP listener that admits callers' requests and has them forwarded. */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import {
  type Arrival,
  type CallerArrival,
  FIRST_ARRIVAL,
  type ReturningCallers,
} from "@rosemarypin/admission";
import {
  type CallerMemories,
  type ClosedConnection,
  closeConnection,
  createCallerServer,
  type MemoryShare,
  recordCloseCause,
} from "@rosemarypin/connections";
import { createLogger } from "@rosemarypin/telemetry";
import { abortAt } from "@rosemarypin/timing";
import type { CallerLimits, Route } from "../configuration.ts";
import type { ConfigurationKeeper } from "../following/mod.ts";
import type { RequestMetadata } from "../protocol.ts";
import { endAfterError, type UnexpectedErrors } from "../unexpected_errors.ts";
import { admit, type Refusal } from "./call_admission.ts";
import { logEnd } from "./call_log.ts";
import {
  endWithRefusal,
  type RefusalParts,
  refuse,
  retryDelayOf,
} from "./caller_answer.ts";
import { type CallEnd, type CallerCall, priorityOf } from "./caller_call.ts";
import { createConnectionSurge } from "./connection_surge.ts";
import { createHandoffAcceptance } from "./handoff_acceptance.ts";
import {
  decodeHandoffTerms,
  HANDOFF_HEADER,
  type HandoffTerms,
  withoutHandoffTerms,
} from "./handoff_headers.ts";
import { startHeadTimeouts } from "./head_timeouts.ts";
import { createOpenAnswers } from "./open_answers.ts";
import { readRequestBody } from "./request_body.ts";
import type { WarmUp } from "./warm_up.ts";

/** Limits that apply until the first configuration is in force. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Limit of the HTTP parser, above the limit of any configuration. */
const PARSER_HEADER_BYTES = 65_536;
/** Time limit for receiving a body, or the rest of one that is refused. */
const BODY_TIMEOUT_MS = 20_000;
const DEFAULT_DEADLINE_MS = 30_000;
/**
 * Time for which requests are accepted after the signal to stop. The load
 * balancer sends connections until two readiness checks a second apart have
 * failed. A later request was sent on a kept-alive connection, and its answer
 * might not end before the process exits, so it is refused as not run.
 */
export const ACCEPT_AFTER_STOP_MS = 2_600;

const BODY_REFUSALS = {
  too_large: { status: 413, reason: "body_too_large" },
  no_room: { status: 503, reason: "bodies_memory_full" },
  too_slow: { status: 408, reason: "body_too_slow" },
} as const;
/** Statuses of refusals by the parser's code; 400 for all others. */
const PARSER_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};
/** Refusal after an error of this instance before the request was sent. */
const FAILED = { status: 503, reason: "internal_error" };

const log = createLogger("callers");

export interface CallerListenerOptions extends RefusalParts {
  readonly keeper: ConfigurationKeeper;
  readonly returningCallers: ReturningCallers;
  readonly memories: CallerMemories;
  /** Connections of callers that may be open. */
  readonly maxConnections: number;
  readonly forward: (call: CallerCall) => Promise<CallEnd>;
  /** Awaited before each request is admitted. */
  readonly warmUp: WarmUp;
  /** Milliseconds since the signal to stop; `null` before it. */
  readonly stoppingForMs: () => number | null;
  /** Whether callers may reach another instance instead. */
  readonly hasOtherInstances: () => boolean;
  /** Whether this instance can serve no request, while others may. */
  readonly isIsolated: () => boolean;
  readonly onEnded: (call: CallerCall, end: CallEnd) => void;
  readonly unexpectedErrors: UnexpectedErrors;
  /** Called for a refusal before the request became a call. */
  readonly onRefused: (refusal: {
    readonly retryAfterSeconds: number | null;
  }) => void;
  /** Called for each connection that this instance closes. */
  readonly onClosed: (connection: ClosedConnection) => void;
}

export interface CallerListener {
  readonly server: Server;
  /** Handles a request that another instance hands off to this one. */
  handleHandedOff(request: IncomingMessage, response: ServerResponse): void;
  /** Requests in progress, until their answers have left this process. */
  inProgress(): number;
  /** IDs of this instance's callers' requests without a whole answer. */
  unanswered(): readonly string[];
  /**
   * Closes all connections of callers, for a stop. Answers in progress are
   * broken off, so that none looks complete.
   */
  closeAll(): void;
  /** Closes those without a request in progress, for a stop. */
  closeIdle(): void;
  stopListening(): void;
}

/** What is known of a request that is refused. */
interface RefusedRequest {
  readonly metadata: RequestMetadata;
  readonly refusal: Refusal;
  readonly startedAt: number;
  readonly handedOff: HandoffTerms | null;
  /** Absent while the route of the request isn't known. */
  readonly priority?: number;
  readonly arrival?: Arrival;
}

/** Creates the listener; the caller binds it to an address. */
export function createCallerListener(
  options: CallerListenerOptions,
): CallerListener {
  const { keeper, codec } = options;
  const answers = createOpenAnswers();
  const acceptance = createHandoffAcceptance({ keeper, isStopping });
  const callers = createCallerServer({
    // Time limits are checked for each request in its turn.
    http: {
      maxHeaderSize: PARSER_HEADER_BYTES,
      headersTimeout: 0,
      requestTimeout: 0,
    },
    handle: (request, response, { receivedAt }) =>
      void handleTracked(request, response, { receivedAt, handedOff: null }),
    mayKeepOpen,
    requestIdOf: ({ headers }) => codec.decodeRequest(headers).requestId ?? "",
    refuseUnparsed,
    onClosed: options.onClosed,
    memories: options.memories,
    maxConnections: options.maxConnections,
  });
  const { server } = callers;
  // HTTP lets a server ignore an expectation that it doesn't know.
  server.on("checkExpectation", callers.receive);
  const surge = createConnectionSurge();
  server.prependListener("connection", (socket) => {
    if (surge.mayAccept() || !options.hasOtherInstances()) return;
    closeConnection(socket, "surge", { isReset: true });
  });
  server.once("close", surge.stop);
  startHeadTimeouts(server, {
    headMs: () => limits().headerTimeoutMs,
    bodyMs: BODY_TIMEOUT_MS,
  });
  server.keepAliveTimeout = DEFAULT_LIMITS.idleTimeoutMs;
  keeper.onChanged(({ limits }) => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
  });

  function limits(): CallerLimits {
    return keeper.applied()?.limits ?? DEFAULT_LIMITS;
  }

  function mayKeepOpen(): boolean {
    return !isStopping() && !options.isIsolated();
  }

  function isStopping(): boolean {
    return options.stoppingForMs() !== null;
  }

  async function handleTracked(
    request: IncomingMessage,
    response: ServerResponse,
    received: Pick<RefusedRequest, "handedOff"> & {
      readonly receivedAt: number;
    },
  ): Promise<void> {
    answers.add(response);
    const room = options.memories.bodies.open();
    if (received.handedOff && !mayKeepOpen()) response.shouldKeepAlive = false;
    try {
      await handle(request, response, { ...received, room });
    } catch (error) {
      endUnforwarded(request, response, error);
    } finally {
      room.release();
      await answers.settled(response);
    }
  }

  /** Ends a request that failed here before it was sent to any server. */
  function endUnforwarded(
    request: IncomingMessage,
    response: ServerResponse,
    error: unknown,
  ): void {
    options.unexpectedErrors.record("request", error);
    request.resume();
    const { requestId } = codec.decodeRequest(request.headers);
    const retryAfterSeconds = null;
    endAfterError(response, () =>
      refuse(codec, response, { ...FAILED, requestId, retryAfterSeconds }),
    );
  }

  /**
   * Forwards a call. After an unexpected error it may have run, and the caller
   * gets an answer that promises nothing.
   */
  async function forward(call: CallerCall): Promise<CallEnd> {
    try {
      return await options.forward(call);
    } catch (error) {
      options.unexpectedErrors.record("request", error);
      const { response } = call;
      const { reason } = FAILED;
      const begun = { status: 0, outcome: "cut" as const };
      let end = { ...begun, reason, attempts: 0, firstByteMs: null } as CallEnd;
      endAfterError(response, () => {
        const outcome = "unknown";
        end = endWithRefusal(options, call, { outcome, reason, attempts: 0 });
      });
      return end;
    }
  }

  /**
   * Handles a request that passes the same checks as one of this instance's own
   * callers, in particular that of its key.
   */
  async function handleHandedOff(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const terms = decodeHandoffTerms(request.headers[HANDOFF_HEADER]);
    if (!terms) {
      const refusal = { status: 400, reason: "unreadable_handoff" };
      const metadata = codec.decodeRequest(request.headers);
      const startedAt = performance.now();
      const refused = { metadata, refusal, startedAt, handedOff: null };
      return refuseRequest(request, response, refused);
    }
    const received = { receivedAt: performance.now(), handedOff: terms };
    await acceptance.during(() => handleTracked(request, response, received));
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
    {
      handedOff,
      receivedAt: startedAt,
      room,
    }: {
      readonly handedOff: HandoffTerms | null;
      readonly receivedAt: number;
      readonly room: MemoryShare;
    },
  ): Promise<void> {
    const rawHeaders = handedOff
      ? withoutHandoffTerms(request.rawHeaders)
      : request.rawHeaders;
    const decoded = codec.decodeRequest(request.headers);
    const metadata = handedOff
      ? {
          ...decoded,
          deadlineMs: handedOff.deadlineMs,
          lastEventId: handedOff.lastEventId,
        }
      : decoded;
    await options.warmUp();
    const applied = acceptance.configurationFor(handedOff, startedAt);
    const isPastStopGrace =
      (options.stoppingForMs() ?? 0) > ACCEPT_AFTER_STOP_MS;
    const refusal = isPastStopGrace
      ? { status: 503, reason: "stopping" }
      : handedOff && acceptance.refusalOf(handedOff);
    const admitted =
      refusal ?? admit(request, { rawHeaders, metadata, applied, handedOff });
    const received = { metadata, startedAt, handedOff };
    if ("status" in admitted) {
      const refused = { ...received, refusal: admitted };
      return refuseRequest(request, response, refused);
    }
    const { arrival, elapsedMs } = classify(admitted.route, received);
    const { bodyBytes } = applied?.limits ?? DEFAULT_LIMITS;
    const body = await readRequestBody(request, {
      bodyBytes,
      room,
      timeoutMs: BODY_TIMEOUT_MS,
    });
    if (body === "too_large" || body === "no_room" || body === "too_slow") {
      const refusal = BODY_REFUSALS[body];
      if (!request.complete) response.shouldKeepAlive = false;
      const priority = priorityOf(admitted);
      const refused = { ...received, refusal, priority, arrival };
      return refuseRequest(request, response, refused);
    }
    if (body === "broken") {
      log.info("request_broken", { request: metadata.requestId ?? "" });
      closeConnection(request.socket, "bad_request");
      return;
    }
    const { route } = admitted;
    const callTimeoutMs = Math.min(
      metadata.deadlineMs ?? DEFAULT_DEADLINE_MS,
      route.timeoutMs,
    );
    const deadlineAt = startedAt + callTimeoutMs;
    if (performance.now() >= deadlineAt) {
      const refusal = { status: 503, reason: "deadline_passed" };
      const priority = priorityOf(admitted);
      const refused = { ...received, refusal, priority, arrival };
      return refuseRequest(request, response, refused);
    }
    const callAbort = new AbortController();
    let callerLeft = false;
    const stopTimer = abortAt(callAbort, deadlineAt);
    response.once("close", () => {
      // After a complete answer, the close needs no abort.
      if (response.writableFinished) return;
      callerLeft = true;
      callAbort.abort();
    });
    const call: CallerCall = {
      id: metadata.requestId ?? crypto.randomUUID(),
      metadata,
      ...admitted,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      rawHeaders,
      body,
      response,
      handedOff,
      startedAt,
      arrival,
      firstAttemptAt: startedAt - elapsedMs,
      deadlineAt,
      signal: callAbort.signal,
      hasCallerLeft: () => callerLeft,
    };
    try {
      const end = await forward(call);
      if (end.outcome === "cut")
        recordCloseCause(response.socket, "answer_cut");
      logEnd(call, end);
      options.onEnded(call, end);
    } finally {
      stopTimer();
    }
  }

  /**
   * How a request has arrived. The deadline of one that was handed off is what
   * is left of its caller's, so its first instance classifies it.
   */
  function classify(
    route: Route,
    { metadata, handedOff }: Pick<RefusedRequest, "metadata" | "handedOff">,
  ): CallerArrival {
    return handedOff
      ? (handedOff.arrival ?? FIRST_ARRIVAL)
      : options.returningCallers.classify(route.name, metadata.deadlineMs);
  }

  function refuseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    refused: RefusedRequest,
  ): void {
    const { metadata, refusal, startedAt, handedOff, priority } = refused;
    const { status, reason } = refusal;
    const deadlineMs = metadata.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const retryAfterSeconds = retryDelayOf(options, status, {
      service: null,
      priority: priority ?? 0,
      leftMs: startedAt + deadlineMs - performance.now(),
    });
    log.info("request_refused", {
      request: metadata.requestId ?? "",
      status,
      reason,
      host: request.headers.host,
      path: request.url,
      version: keeper.applied()?.version ?? 0,
      priority,
      arrival: refused.arrival,
      retry_after_s: retryAfterSeconds ?? undefined,
    });
    request.resume();
    const { requestId } = metadata;
    refuse(codec, response, { status, reason, requestId, retryAfterSeconds });
    // The instance that handed it off counts the refusals of its callers.
    if (!handedOff) options.onRefused({ retryAfterSeconds });
  }

  return {
    server,
    handleHandedOff: (request, response) =>
      void handleHandedOff(request, response),
    inProgress: answers.count,
    unanswered: callers.unanswered,
    stopListening: callers.stopListening,
    closeIdle: callers.closeIdle,
    closeAll() {
      answers.breakOff();
      callers.closeAll();
    },
  };
}

/** The response to bytes that are no request, by the code of their error. */
function refuseUnparsed(code: string): string {
  const status = PARSER_STATUSES[code] ?? 400;
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "Connection: close\r\nContent-Length: 0\r\n\r\n"
  );
}
