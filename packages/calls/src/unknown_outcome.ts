/** Calls whose end is not known, and how a service may still tell it. */
import type { ServiceAnswer, ServiceRequest } from "@rosemarypin/backends";
import { type CallFailure, outcomeUnknown } from "./call_failure.ts";
import type { ServiceCall, ServiceCallContext } from "./service_context.ts";

const LOOKUP_TIMEOUT_MS = 1_000;
const OK = 200;

/**
 * Asks the service for the run of a key, where the settings say how.
 *
 * Only a run that is found counts. One that is not found proves nothing: its
 * bytes may still wait in a frozen server, or its owner may be frozen just
 * before sending. So a look-up never frees a key.
 */
export async function findByLookup(
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
    const isFound = result.kind === "answer" && result.answer.status === OK;
    if (isFound) return result.answer;
  }
  return null;
}

/** Nobody can say whether the call ran. */
export function mayHaveRun(): CallFailure {
  return outcomeUnknown(
    "may_have_run",
    "the call may have run and is not repeated; check with the service",
  );
}

/** The first call by the key still runs, as its owner says. */
export function stillRunning(): CallFailure {
  return {
    ...outcomeUnknown(
      "still_running",
      "the first call by this key still runs; ask again with the same key",
    ),
    retryAfterSeconds: 1,
  };
}

/** What is known of so old a key may have been removed. */
export function keyExpired(): CallFailure {
  const message =
    "the idempotency-key is older than a day; an earlier call by it may have run";
  return { ...outcomeUnknown("key_expired", message), status: 422 };
}
