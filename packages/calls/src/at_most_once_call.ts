/** A call that must not be repeated: claimed durably, then sent once. */
import type { ServiceAnswer } from "@rosemarypin/backends";
import type { ClaimState } from "@rosemarypin/schemas";
import { badCall, type CallFailure, notRun } from "./call_failure.ts";
import { isExpiredKey } from "./claim_key.ts";
import type { Claim, ClaimRequest, ClaimResult } from "./claim_store.ts";
import { followClaim } from "./duplicate_call.ts";
import {
  answered,
  failed,
  type ServiceCall,
  type ServiceCallContext,
  type ServiceCallResult,
} from "./service_context.ts";
import { logClaimFailure, logServerFailure } from "./service_log.ts";
import { fingerprintOf, refuseByNote } from "./service_rules.ts";
import { findByLookup, keyExpired, mayHaveRun } from "./unknown_outcome.ts";

const RETRY_SECONDS = 1;
/** A claim that others release while it is followed is tried again. */
const LARGEST_TURNS = 4;
/** Larger answers are not kept: the store's objects end at a megabyte. */
const LARGEST_KEPT_ANSWER = 512 * 1024;

/** Claims the key, then sends the call to one server. */
export async function runOnce(
  call: ServiceCall,
  context: ServiceCallContext,
): Promise<ServiceCallResult> {
  const { idempotencyKey, requestId } = call;
  if (idempotencyKey === undefined) return failed(keyMissing(call));
  if (isExpiredKey(idempotencyKey)) return failed(keyExpired());
  const request: ClaimRequest = {
    requestId,
    idempotencyKey,
    organisation: call.organisation,
    service: call.service,
    fingerprint: fingerprintOf(call.request),
  };
  context.registry.begin(requestId);
  try {
    return await claimAndSend(call, { context, request });
  } finally {
    context.registry.close(requestId);
  }
}

interface SingleCall {
  readonly context: ServiceCallContext;
  readonly request: ClaimRequest;
}

async function claimAndSend(
  call: ServiceCall,
  { context, request }: SingleCall,
): Promise<ServiceCallResult> {
  const { claims } = context;
  let result = await claims.claim(request);
  for (let turns = 0; turns < LARGEST_TURNS; turns++) {
    if (result.kind !== "taken") break;
    const followed = await followClaim(call, {
      context,
      request,
      claim: result.claim,
    });
    if (followed.kind === "ended") {
      const result = "followed";
      context.metrics?.claims.inc({ service: call.service, result });
      return followed.result;
    }
    result = await claims.reuse(request, followed.neverSent);
  }
  const { kind } = result;
  context.metrics?.claims.inc({ service: call.service, result: kind });
  if (result.kind === "taken") return failed(mayHaveRun());
  if (result.kind === "unavailable") return refuse(call, result);
  const refusal = await refuseBeforeSending(call, context);
  if (refusal) {
    release(result.claim, { call, context });
    return failed(refusal);
  }
  return send(call, { context, claim: result.claim });
}

/** In an outage nothing can be claimed, so nothing is sent. */
function refuse(
  call: ServiceCall,
  result: Extract<ClaimResult, { kind: "unavailable" }>,
): ServiceCallResult {
  logClaimFailure(call, result.detail);
  return failed(
    notRun("claims_unavailable", {
      message: "the call cannot be recorded now, so it was not sent",
      retryAfterSeconds: Math.max(1, Math.ceil(result.retryAfterMs / 1_000)),
    }),
  );
}

/**
 * Looks again at what may have changed while the claim was written, or while
 * this process was frozen.
 *
 * An expired key shows here when the process was frozen between its first
 * look and the claim: the claim of an earlier run may have been removed by
 * then. The claim was made before this look, and claims are removed only
 * hours after keys expire, so a key that is still good here had its earlier
 * claim in place and would have met it.
 */
async function refuseBeforeSending(
  call: ServiceCall,
  context: ServiceCallContext,
): Promise<CallFailure | null> {
  const refusal = await refuseByNote(call.service, context.keeper);
  if (refusal) return refusal;
  if (isExpiredKey(call.idempotencyKey ?? "")) return keyExpired();
  if (Date.now() >= call.deadlineAt) {
    return notRun("deadline", {
      message: "the deadline passed before the call was sent",
      retryAfterSeconds: RETRY_SECONDS,
    });
  }
  return null;
}

interface Claimed {
  readonly context: ServiceCallContext;
  readonly claim: Claim;
}

/** Goes on to another server only while none can have started the call. */
async function send(
  call: ServiceCall,
  { context, claim }: Claimed,
): Promise<ServiceCallResult> {
  const { fleet, service } = context;
  for (const server of context.servers()) {
    const leftMs = call.deadlineAt - Date.now();
    if (leftMs <= 0) break;
    context.registry.markSending(call.requestId);
    const result = await fleet.send(server, call.request, {
      timeoutMs: Math.min(service.timeoutMs, leftMs),
      freshConnection: true,
    });
    if (result.kind === "answer") {
      settle(claim, { call, context, state: storedAnswer(result.answer) });
      return answered(result.answer, { repeated: false });
    }
    logServerFailure(call, { server: server.id, result });
    if (result.kind === "broken") {
      return endUnknown(call, { context, claim, reason: result.detail });
    }
  }
  release(claim, { call, context });
  return failed(
    notRun("no_server", {
      message: `no server of '${call.service}' took the call; ask again`,
      retryAfterSeconds: RETRY_SECONDS,
    }),
  );
}

/** The call may have run; a look-up can tell that it did. */
async function endUnknown(
  call: ServiceCall,
  options: Claimed & { readonly reason: string },
): Promise<ServiceCallResult> {
  const { context, claim, reason } = options;
  const found = await findByLookup(call, context);
  const state = found ? storedAnswer(found) : unknownState(reason);
  settle(claim, { call, context, state });
  return found ? answered(found, { repeated: false }) : failed(mayHaveRun());
}

/** Frees the key: this process has not sent the call and will not. */
function release(
  claim: Claim,
  options: {
    readonly call: ServiceCall;
    readonly context: ServiceCallContext;
  },
): void {
  const { call, context } = options;
  context.registry.endUnsent(call.requestId);
  context.ends.record(claim, { kind: "released" });
}

/**
 * Records the end behind the answer, so that the caller does not wait for
 * it; until it is recorded, second callers get it from this process.
 */
function settle(
  claim: Claim,
  options: {
    readonly call: ServiceCall;
    readonly context: ServiceCallContext;
    readonly state: ClaimState;
  },
): void {
  const { call, context, state } = options;
  context.registry.endSent(call.requestId, state);
  context.ends.record(claim, state);
}

function storedAnswer(answer: ServiceAnswer): ClaimState {
  if (answer.body.length > LARGEST_KEPT_ANSWER) {
    return unknownState("it was answered, but the answer is too large to keep");
  }
  const { status, contentType } = answer;
  const body = answer.body.toString("base64");
  return { kind: "answered", status, contentType, body };
}

function unknownState(reason: string): ClaimState {
  return { kind: "unknown", reason };
}

function keyMissing(call: ServiceCall): CallFailure {
  const { method, path } = call.request;
  return badCall("key_missing", {
    message: `${method} ${path} may not be repeated; send an idempotency-key`,
    status: 400,
  });
}
