/** Forwards requests of plain services: whole answers, at most some repeats. */
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendServer } from "../backend_server.ts";
import { awayReason, type OpenAnswer } from "../backends/mod.ts";
import {
  beginAnswer,
  type CallEnd,
  type CallerCall,
  endWithRefusal,
  timeLeftMs,
} from "../callers/mod.ts";
import {
  type ForwardingParts,
  isOwnAnswer,
  outgoingRequest,
  readWhole,
} from "../forwarding/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import type { ServerChoice } from "./server_choice.ts";
import { tryTimeMs } from "./try_time.ts";

/** Servers that may refuse a request before it is refused to the caller. */
const MOST_REFUSALS = 3;
const SERVER_ERROR = 500;

const log = createLogger("calls");

export interface ForwardParts extends ForwardingParts {
  readonly choice: ServerChoice;
}

type Attempt =
  | {
      readonly kind: "answer";
      readonly answer: OpenAnswer;
      readonly body: Buffer;
    }
  | { readonly kind: "not_run"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** Forwards a call until it has an answer, or nobody may answer it. */
export async function forwardPlain(
  call: CallerCall,
  parts: ForwardParts,
): Promise<CallEnd> {
  const { codec, budget, choice } = parts;
  const mayRepeat = call.route.kind === "idempotent";
  const avoided = new Set<string>();
  let attempts = 0;
  let runs = 0;
  let last: Attempt = { kind: "not_run", detail: "no_server" };
  while (!call.signal.aborted) {
    const server = choice.choose(call.service.name, avoided);
    if (!server) break;
    if (attempts > 0 && !budget.take(call.service.name)) break;
    attempts += 1;
    avoided.add(server.id);
    const isLast = !mayRepeat || runs + 1 >= call.route.maxAttempts;
    last = await attemptOnce(call, server, {
      ...parts,
      longestMs: isLast ? null : tryMs(call),
    });
    if (last.kind === "not_run") {
      if (attempts - runs > MOST_REFUSALS) break;
      continue;
    }
    runs += 1;
    const isFinal = last.kind === "answer" && last.answer.status < SERVER_ERROR;
    if (isFinal || !mayRepeat || runs >= call.route.maxAttempts) break;
  }
  if (call.callerLeft()) {
    const reason = "caller_left";
    return { status: 0, outcome: reason, reason, attempts, firstByteMs: null };
  }
  if (last.kind === "answer") return passOn(call, last, { codec, attempts });
  // Once it may have run, a later refusal does not say that it did not.
  const outcome = runs > 0 ? "unknown" : "not_run";
  const reason = last.detail;
  return endWithRefusal(codec, call, { outcome, reason, attempts });
}

function tryMs(call: CallerCall): number {
  const { objectiveMs } = call.route;
  return tryTimeMs({ leftMs: timeLeftMs(call), objectiveMs });
}

async function attemptOnce(
  call: CallerCall,
  server: BackendServer,
  options: ForwardParts & { readonly longestMs: number | null },
): Promise<Attempt> {
  const { codec, exchange, fleet, choice, longestMs } = options;
  const sentAt = performance.now();
  log.info("request_sent", {
    request: call.id,
    route: call.route.name,
    id: server.id,
    left_ms: timeLeftMs(call).toFixed(0),
  });
  choice.began(server.id);
  let ok = false;
  try {
    const result = await exchange.send(
      server,
      outgoingRequest(codec, call, {
        backendId: server.id,
        pipeline: null,
        lastEventId: null,
      }),
      {
        signal:
          longestMs === null
            ? call.signal
            : AbortSignal.any([call.signal, AbortSignal.timeout(longestMs)]),
        freshConnection: call.route.kind !== "idempotent",
      },
    );
    if (result.kind === "not_sent") {
      fleet.detector.away(server.id, awayReason(result.detail));
      return { kind: "not_run", detail: result.detail };
    }
    if (result.kind === "broken") {
      return { kind: "unknown", detail: result.detail };
    }
    const attempt = await readAnswer(call, result, codec);
    ok = attempt.kind === "answer" && attempt.answer.status < SERVER_ERROR;
    if (ok) fleet.detector.worked(server.id);
    return attempt;
  } finally {
    choice.ended(server.id, { tookMs: performance.now() - sentAt, ok });
  }
}

async function readAnswer(
  call: CallerCall,
  answer: OpenAnswer,
  codec: RequestCodec,
): Promise<Attempt> {
  const facts = codec.decodeAnswer(answer.status, answer.headers);
  if (!isOwnAnswer(call, facts)) {
    answer.abandon();
    return { kind: "unknown", detail: "answer_of_another_request" };
  }
  const isSuccess = answer.status < 300;
  if (isSuccess && !facts.signed) {
    answer.abandon();
    return { kind: "unknown", detail: "unsigned_answer" };
  }
  try {
    const body = await readWhole(answer);
    if (facts.notRun && !isSuccess) {
      return { kind: "not_run", detail: `refused_${answer.status}` };
    }
    return { kind: "answer", answer, body };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "unknown", detail: `answer_broke_off: ${reason}` };
  }
}

function passOn(
  call: CallerCall,
  { answer, body }: { readonly answer: OpenAnswer; readonly body: Buffer },
  {
    codec,
    attempts,
  }: { readonly codec: RequestCodec; readonly attempts: number },
): CallEnd {
  const firstByteMs = performance.now() - call.startedAt;
  beginAnswer(codec, call.response, answer);
  call.response.end(body);
  return {
    status: answer.status,
    outcome: "answered",
    reason: `status_${answer.status}`,
    attempts,
    firstByteMs,
  };
}
