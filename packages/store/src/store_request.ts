/** One call to the object API, and what its end says about its effect. */
import { type Agent, errors, request } from "undici";
import type {
  StoreCallOptions,
  StoreFailure,
  StoreResult,
} from "./object_store.ts";

/** How long a read or write may take before its reply counts as lost. */
export const CALL_TIMEOUT_MS = 2_000;

export type StoreMethod = "GET" | "PUT" | "DELETE";

export interface StoreRequest extends StoreCallOptions {
  readonly method: StoreMethod;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** An answer that the store gave on purpose. */
export interface StoreAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A result, with whether the store showed that it works. */
export interface StoreOutcome {
  readonly result: StoreResult<StoreAnswer>;
  readonly healthy: boolean;
}

/** Statuses that a caller of `sendRequest` has to make sense of. */
const PLANNED = new Set([200, 201, 404, 412]);
const TOO_LARGE = 413;
const TOO_MANY = 429;
const SERVER_ERROR = 500;

/** Sends one call; never throws. */
export async function sendRequest(
  agent: Agent,
  url: URL,
  init: StoreRequest,
): Promise<StoreOutcome> {
  const timeoutMs = init.timeoutMs ?? CALL_TIMEOUT_MS;
  const timeout = AbortSignal.timeout(timeoutMs);
  const signal = init.signal
    ? AbortSignal.any([init.signal, timeout])
    : timeout;
  try {
    const response = await request(url, {
      dispatcher: agent,
      method: init.method,
      headers: { "content-type": "application/json", ...init.headers },
      body: init.body ?? null,
      signal,
    });
    const text = await response.body.text();
    return judgeAnswer(response.statusCode, text, init);
  } catch (error) {
    // A caller that gives up, or waits less than a store may take, says
    // nothing about the store: claims are tried again after 700 ms, and a
    // store that takes 1.5 s would else count as away for recalls too.
    const gaveUp = init.signal?.aborted === true;
    const healthy = gaveUp || (timeout.aborted && timeoutMs < CALL_TIMEOUT_MS);
    return { healthy, result: judgeBreak(error, init.method) };
  }
}

function judgeAnswer(
  status: number,
  text: string,
  init: StoreRequest,
): StoreOutcome {
  const detail = `the store answered ${status}`;
  // A store may fail after it has written, and answer 503 all the same: only
  // an answer below 500 proves that a write had no effect.
  if (status >= SERVER_ERROR) {
    return { healthy: false, result: noAnswer(init.method, detail) };
  }
  // A rate limit is applied before a call is looked at.
  if (status === TOO_MANY) {
    return { healthy: false, result: { kind: "unavailable", detail } };
  }
  if (status === TOO_LARGE) {
    const bytes = Buffer.byteLength(init.body ?? "");
    return { healthy: true, result: { kind: "too_large", bytes } };
  }
  if (!PLANNED.has(status)) {
    return { healthy: true, result: { kind: "unavailable", detail } };
  }
  try {
    const body: unknown = JSON.parse(text);
    return { healthy: true, result: { kind: "ok", value: { status, body } } };
  } catch {
    const reason = `${detail} with a body that is not JSON`;
    return { healthy: false, result: noAnswer(init.method, reason) };
  }
}

/**
 * A call that never got a connection had no effect. Any other broken write
 * may have taken effect: the store can lose its answer after writing.
 */
function judgeBreak(error: unknown, method: StoreMethod): StoreFailure {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as { code?: string }).code;
  const neverSent =
    error instanceof errors.ConnectTimeoutError || code === "ECONNREFUSED";
  if (neverSent) return { kind: "unavailable", detail };
  return noAnswer(method, detail);
}

/** What a call without a usable answer means: a read never has an effect. */
export function noAnswer(method: StoreMethod, detail: string): StoreFailure {
  return method === "GET"
    ? { kind: "unavailable", detail }
    : { kind: "reply_lost", detail };
}
