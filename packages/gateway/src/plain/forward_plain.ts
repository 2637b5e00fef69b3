/** Forwards requests of plain services, with a bounded number of retries. */
import type { Retry } from "@rosemarypin/limits";
import { createLogger } from "@rosemarypin/telemetry";
import { withTimeout } from "@rosemarypin/timing";
import type { BackendServer } from "../backend_server.ts";
import {
  type BackendFleet,
  isMalformedAnswer,
  type OpenAnswer,
  suspicionReasonOf,
} from "../backends/mod.ts";
import {
  type CallEnd,
  type CallerCall,
  endWithRefusal,
  isCloseDelimited,
  maxAttemptsOf,
  reportFailedServers,
  sendBufferedAnswer,
  timeLeftMs,
} from "../callers/mod.ts";
import {
  createOutgoingRequest,
  type ForwardingParts,
  isOwnAnswer,
} from "../forwarding/mod.ts";
import {
  attemptsForHelper,
  type HandoffRequest,
  type HandoffResult,
  hasReachedServer,
  type RequestHandoff,
} from "../handoff/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import type { ServerChoice } from "./server_choice.ts";
import { tryTimeoutMs } from "./try_timeout.ts";

/** Refusals after which a request is still sent to another server. */
const MAX_REFUSALS = 3;
const MIN_SERVER_ERROR_STATUS = 500;

const log = createLogger("calls");

export interface ForwardParts extends ForwardingParts {
  readonly choice: ServerChoice;
  readonly handoff: RequestHandoff;
}

type Attempt =
  | {
      readonly kind: "answer";
      readonly answer: OpenAnswer;
      readonly body: Buffer;
    }
  | {
      readonly kind: "not_run";
      readonly detail: string;
      /** Whether the request reached a server, which refused it. */
      readonly wasSent: boolean;
    }
  | {
      readonly kind: "unknown";
      readonly detail: string;
      /** Whether the server sent bytes that are no answer. */
      readonly isMalformed?: boolean;
    };

/** An attempt through another instance, which chooses the servers. */
type HelperAttempt =
  | Exclude<Attempt, { readonly kind: "not_run" }>
  | Extract<HandoffResult, { readonly kind: "refused" | "unavailable" }>;

/**
 * Forwards a call to one server after another until one answers, no server or
 * retry is left, or the call is aborted. While no server can be reached, it is
 * handed off to another instance.
 */
export async function forwardPlain(
  call: CallerCall,
  parts: ForwardParts,
): Promise<CallEnd> {
  const { codec, budget, choice, fleet, handoff } = parts;
  const { name: service } = call.service;
  const isRetryable = call.route.kind === "idempotent";
  const maxAttempts = maxAttemptsOf(call);
  /** Servers that have answered with errors, to this or another instance. */
  const failedServers = new Set(call.handedOff?.failedServers);
  const triedIds = new Set<string>();
  let attempts = 0;
  let sentAttempts = 0;
  let possibleRuns = 0;
  const usedHelpers = new Set<string>();
  let mayHaveHelper = true;
  let retryAfterSeconds: number | null = null;
  let lastAttempt = unsentAttempt("no_server");
  /** Server of the attempt after the present one, and its retry. */
  let nextServer: BackendServer | null = null;
  let retry: Retry | null = null;
  try {
    while (!call.signal.aborted) {
      const usesHelper = mayHaveHelper && (await handoff.isNeeded(call));
      const isOver = await (usesHelper ? tryHelper() : tryServer());
      if (isOver) break;
    }
  } finally {
    releaseRetry();
  }
  reportFailedServers(call, failedServers);
  if (call.hasCallerLeft()) {
    const reason = "caller_left";
    return { status: 0, outcome: reason, reason, attempts, firstByteMs: null };
  }
  if (lastAttempt.kind === "answer")
    return relayAnswer(call, lastAttempt, { codec, attempts });
  // If an earlier attempt may have run, a refusal of the last one doesn't
  // make the whole call safe to retry.
  const outcome = possibleRuns > 0 ? "unknown" : "not_run";
  const reason = lastAttempt.detail;
  return endWithRefusal(parts, call, {
    outcome,
    reason,
    attempts,
    backoffMs: commonBackoffMs(parts.fleet, service),
    retryAfterSeconds,
  });

  /** Hands the call off to another instance; resolves to whether it is over. */
  async function tryHelper(): Promise<boolean> {
    const helperAttempts = attemptsForHelper(
      maxAttempts - possibleRuns,
      isRetryable,
    );
    const takesRetry = sentAttempts > 0 && !takeRetry();
    retry?.send();
    const attempt = await attemptOnHelper(call, {
      codec,
      handoff,
      answerBuffers: parts.answerBuffers,
      maxAttempts: helperAttempts,
      usedHelpers,
      failedServers,
      takesRetry,
    });
    if (hasReachedServer(attempt)) {
      sentAttempts += 1;
      retry = null;
    }
    if (attempt.kind === "unavailable") {
      mayHaveHelper = false;
      retryAfterSeconds = attempt.retryAfterSeconds;
      return false;
    }
    attempts += 1;
    if (attempt.kind === "refused") {
      lastAttempt = unsentAttempt(attempt.reason);
      retryAfterSeconds = attempt.retryAfterSeconds;
      return true;
    }
    lastAttempt = attempt;
    possibleRuns += helperAttempts;
    return isFinal(attempt) || !isRetryable || possibleRuns >= maxAttempts;
  }

  /** Sends the call to the best server; resolves to whether it is over. */
  async function tryServer(): Promise<boolean> {
    const server = nextServer ?? chooseServer();
    nextServer = null;
    if (!server) return true;
    if (sentAttempts > 0 && !takeRetry()) return true;
    const presentRetry = retry;
    presentRetry?.send();
    retry = null;
    attempts += 1;
    triedIds.add(server.id);
    const isLast = !isRetryable || possibleRuns + 1 >= maxAttempts;
    lastAttempt = await attemptOnce(call, server, {
      ...parts,
      attempt: sentAttempts + 1,
      timeoutMs: isLast ? null : tryTimeoutOf(call),
      mayAbort: reserveNext,
    });
    if (lastAttempt.kind === "not_run") {
      if (lastAttempt.wasSent) sentAttempts += 1;
      else presentRetry?.release();
      return attempts - possibleRuns > MAX_REFUSALS;
    }
    sentAttempts += 1;
    possibleRuns += 1;
    const hasFailed = lastAttempt.kind === "answer" && !isFinal(lastAttempt);
    if (hasFailed) failedServers.add(server.id);
    return isFinal(lastAttempt) || !isRetryable || possibleRuns >= maxAttempts;
  }

  function chooseServer(): BackendServer | null {
    return choice.choose(service, new Set([...triedIds, ...failedServers]));
  }

  function takeRetry(): boolean {
    retry ??= budget.takeRetry(service);
    return retry !== null;
  }

  function releaseRetry(): void {
    retry?.release();
    retry = null;
  }

  /** Whether another attempt can follow a server that is silent. */
  function reserveNext(): boolean {
    // Kept connections may hang since this instance lost its links.
    fleet.reachability.check(service);
    if (mayHaveHelper && fleet.reachability.isCutOff(service)) return true;
    if (!takeRetry()) return false;
    nextServer ??= chooseServer();
    return nextServer !== null;
  }
}

function unsentAttempt(detail: string): Attempt {
  return { kind: "not_run", detail, wasSent: false };
}

/** Whether another attempt can't give a better answer. */
function isFinal(attempt: Attempt): boolean {
  return (
    attempt.kind === "answer" && attempt.answer.status < MIN_SERVER_ERROR_STATUS
  );
}

/** Hands the call off to another instance and reads its whole answer. */
async function attemptOnHelper(
  call: CallerCall,
  options: Pick<ForwardParts, "codec" | "handoff" | "answerBuffers"> &
    Omit<HandoffRequest, "lastEventId" | "isRepeatable">,
): Promise<HelperAttempt> {
  const { codec, handoff, answerBuffers, ...request } = options;
  const result = await handoff.send(call, {
    ...request,
    lastEventId: null,
    isRepeatable: call.route.kind === "idempotent",
  });
  if (result.kind === "broken")
    return { kind: "unknown", detail: result.detail };
  if (result.kind !== "answer") return result;
  const { answer } = result;
  const metadata = codec.decodeAnswer(answer.status, answer.headers);
  if (!isOwnAnswer(call, metadata)) {
    answer.abandon();
    return { kind: "unknown", detail: "answer_of_another_request" };
  }
  // Without a signature, the other instance itself doesn't know the outcome.
  const isUnknown =
    !metadata.isSigned &&
    (answer.status < 300 || answer.status >= MIN_SERVER_ERROR_STATUS);
  if (isUnknown) {
    answer.abandon();
    return { kind: "unknown", detail: `helper_${answer.status}` };
  }
  return readWholeBody(call, answer, { answerBuffers, signal: call.signal });
}

/**
 * Milliseconds until the first server of a service wants requests again; 0 if
 * one of them does already.
 */
function commonBackoffMs(fleet: BackendFleet, service: string): number {
  const servers = fleet.ofService(service).filter(({ leaving }) => !leaving);
  if (servers.length === 0) return 0;
  return Math.min(...servers.map(fleet.backoffs.remainingMs));
}

function tryTimeoutOf(call: CallerCall): number {
  const { objectiveMs } = call.route;
  return tryTimeoutMs({ leftMs: timeLeftMs(call), objectiveMs });
}

async function attemptOnce(
  call: CallerCall,
  server: BackendServer,
  options: ForwardParts & {
    /** Counts the call's attempts that have reached servers, with this one. */
    readonly attempt: number;
    /** Time after which another attempt may take its place. */
    readonly timeoutMs: number | null;
    readonly mayAbort: () => boolean;
  },
): Promise<Attempt> {
  const { choice, timeoutMs, mayAbort } = options;
  const sentAt = performance.now();
  log.info("request_sent", {
    request: call.id,
    route: call.route.name,
    id: server.id,
    attempt: options.attempt,
    left_ms: timeLeftMs(call).toFixed(0),
  });
  choice.requestStarted(server.id);
  const send = (signal: AbortSignal) =>
    sendToServer(call, server, { ...options, signal });
  let succeeded = false;
  try {
    const attempt = await (timeoutMs === null
      ? send(call.signal)
      : withTimeout({ timeoutMs, signal: call.signal, mayAbort }, send));
    succeeded = isFinal(attempt);
    return attempt;
  } finally {
    choice.requestEnded(server.id, {
      tookMs: performance.now() - sentAt,
      succeeded,
    });
  }
}

/** Sends the call to the server and reads its whole answer. */
async function sendToServer(
  call: CallerCall,
  server: BackendServer,
  options: Pick<
    ForwardParts,
    "codec" | "exchange" | "fleet" | "refusesConnections" | "answerBuffers"
  > & {
    readonly signal: AbortSignal;
  },
): Promise<Attempt> {
  const { codec, exchange, fleet, signal } = options;
  const request = createOutgoingRequest(codec, call, {
    backendId: server.id,
    pipeline: null,
    lastEventId: null,
  });
  const freshConnection = call.route.kind !== "idempotent";
  const result = await exchange.send(server, request, {
    signal,
    freshConnection,
  });
  if (result.kind === "not_sent") {
    fleet.detector.reportFailure(server.id, suspicionReasonOf(result.detail));
    return unsentAttempt(result.detail);
  }
  if (result.kind === "broken") {
    // Kept connections to all servers may hang since the same moment.
    if (!call.signal.aborted) fleet.reachability.check(server.service);
    if (result.isMalformed) fleet.outliers.record(server.id, "error");
    return { kind: "unknown", detail: result.detail };
  }
  const attempt = await readAnswer(call, result, { ...options, server });
  if (attempt.kind === "unknown" && attempt.isMalformed)
    fleet.outliers.record(server.id, "error");
  if (isFinal(attempt)) fleet.detector.reportSuccess(server.id);
  return attempt;
}

async function readAnswer(
  call: CallerCall,
  answer: OpenAnswer,
  {
    codec,
    fleet,
    refusesConnections,
    server,
    ...readOptions
  }: Pick<ForwardingParts, "codec" | "fleet" | "refusesConnections"> &
    ReadOptions & { readonly server: BackendServer },
): Promise<Attempt> {
  const metadata = codec.decodeAnswer(answer.status, answer.headers);
  if (!isOwnAnswer(call, metadata)) {
    answer.abandon();
    return { kind: "unknown", detail: "answer_of_another_request" };
  }
  fleet.recordAnswer(server, answer.status, metadata);
  const isSuccess = answer.status < 300;
  if (isSuccess && !metadata.isSigned) {
    answer.abandon();
    return { kind: "unknown", detail: "unsigned_answer" };
  }
  const attempt = await readWholeBody(call, answer, readOptions);
  if (attempt.kind === "answer" && metadata.notRun && !isSuccess) {
    const detail = `refused_${answer.status}`;
    return { kind: "not_run", detail, wasSent: true };
  }
  if (
    attempt.kind !== "answer" ||
    !isCloseDelimited(codec, call.method, answer)
  )
    return attempt;
  // One that still listens proves nothing: its process may have restarted.
  const hasEnded = await refusesConnections(server.address);
  log.info("close_delimited_answer", {
    request: call.id,
    id: server.id,
    status: answer.status,
    bytes: attempt.body.length,
    evidence: hasEnded ? "refuses_connections" : "none",
    decision: hasEnded ? "broken" : "relayed_unframed",
  });
  return hasEnded ? { kind: "unknown", detail: "server_ended" } : attempt;
}

interface ReadOptions extends Pick<ForwardingParts, "answerBuffers"> {
  readonly signal: AbortSignal;
}

async function readWholeBody(
  { response }: CallerCall,
  answer: OpenAnswer,
  { answerBuffers, signal }: ReadOptions,
): Promise<Extract<Attempt, { readonly kind: "answer" | "unknown" }>> {
  try {
    const body = await answerBuffers.read(answer, { response, signal });
    return { kind: "answer", answer, body };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const detail = `answer_broke_off: ${reason}`;
    return { kind: "unknown", detail, isMalformed: isMalformedAnswer(error) };
  }
}

function relayAnswer(
  call: CallerCall,
  { answer, body }: { readonly answer: OpenAnswer; readonly body: Buffer },
  {
    codec,
    attempts,
  }: { readonly codec: RequestCodec; readonly attempts: number },
): CallEnd {
  const firstByteMs = performance.now() - call.startedAt;
  sendBufferedAnswer(codec, call.response, { ...answer, body });
  return {
    status: answer.status,
    outcome: "answered",
    reason: `status_${answer.status}`,
    attempts,
    firstByteMs,
  };
}
