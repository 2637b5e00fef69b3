/** Failures of calls with an unknown outcome, and look-ups at the service. */
import type { ServiceAnswer, ServiceRequest } from "@rosemarypin/backends";
import { type CallFailure, outcomeUnknown } from "./call_failure.ts";
import type { ServiceCall, ServiceCallContext } from "./service_context.ts";

const LOOKUP_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/**
 * Looks up the result of an earlier call with the same key at the service, if
 * the settings configure a look-up path. Returns `null` if none is found.
 *
 * A look-up that finds nothing does not prove that the call will not run: its
 * request may be buffered at a frozen server, or its owner may be frozen just
 * before sending. So a look-up never frees a key.
 */
export async function lookUpAnswer(
  call: ServiceCall,
  context: ServiceCallContext,
): Promise<ServiceAnswer | null> {
  const { lookup } = context.service;
  if (!lookup || call.idempotencyKey === undefined) return null;
  const key = encodeURIComponent(call.idempotencyKey);
  const request: ServiceRequest = {
    method: "GET",
    path: lookup.path.replace("{key}", key),
    headers: { ...call.request.headers },
    body: Buffer.alloc(0),
  };
  for (const server of context.servers()) {
    const result = await context.fleet.send(server, request, {
      timeoutMs: LOOKUP_TIMEOUT_MS,
    });
    const isFound =
      result.kind === "answer" && result.answer.status === HTTP_OK;
    if (isFound) return result.answer;
  }
  return null;
}

/** It is unknown whether the call ran. */
export function mayHaveRun(): CallFailure {
  return outcomeUnknown(
    "may_have_run",
    "the call may have run and is not retried; check with the service",
  );
}

/** The owner reports that the first call with the key is still running. */
export function stillRunning(): CallFailure {
  return {
    ...outcomeUnknown(
      "still_running",
      "the first call with this key is still running; retry with the same key",
    ),
    retryAfterSeconds: 1,
  };
}

/** The key has expired; the claim of an earlier call may be removed. */
export function keyExpired(): CallFailure {
  const message =
    "the idempotency-key is older than a day; an earlier call with it may have run";
  return { ...outcomeUnknown("key_expired", message), status: 422 };
}
