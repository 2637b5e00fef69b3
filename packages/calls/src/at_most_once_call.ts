/**
 * Calls that are not idempotent: each is claimed durably by its key and sent
 * at most once.
 */
import type { ServiceAnswer } from "@rosemarypin/backends";
import type { ClaimState } from "@rosemarypin/schemas";
import { badCall, type CallFailure, notRun } from "./call_failure.ts";
import { isExpiredKey } from "./claim_key.ts";
import type { Claim, ClaimRequest, ClaimResult } from "./claim_store.ts";
import { recordOf, resolveExistingClaim } from "./duplicate_call.ts";
import {
  answered,
  failed,
  type ServiceCall,
  type ServiceCallContext,
  type ServiceCallResult,
} from "./service_context.ts";
import { logClaimFailure, logServerFailure } from "./service_log.ts";
import { checkReleaseNote, fingerprintOf } from "./service_rules.ts";
import { keyExpired, lookUpAnswer, mayHaveRun } from "./unknown_outcome.ts";

const RETRY_AFTER_SECONDS = 1;
/** Limit of attempts to take over a claim that other calls release. */
const MAX_CLAIM_ATTEMPTS = 4;
/** Larger answers are not recorded: store objects are limited to 1 MB. */
const MAX_RECORDED_ANSWER_BYTES = 512 * 1024;

/** Claims the key, then sends the call. */
export async function runAtMostOnce(
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

interface ClaimContext {
  readonly context: ServiceCallContext;
  readonly request: ClaimRequest;
}

async function claimAndSend(
  call: ServiceCall,
  { context, request }: ClaimContext,
): Promise<ServiceCallResult> {
  const { claims } = context;
  let result = await claims.claim(request);
  for (let attempts = 0; attempts < MAX_CLAIM_ATTEMPTS; attempts++) {
    if (result.kind !== "taken") break;
    const resolved = await resolveExistingClaim(call, {
      context,
      request,
      claim: result.claim,
    });
    if (resolved.kind === "ended") {
      const result = "followed";
      context.metrics?.claims.inc({ service: call.service, result });
      return resolved.result;
    }
    result = await claims.takeOver(request, resolved.unsentClaim);
  }
  const { kind } = result;
  context.metrics?.claims.inc({ service: call.service, result: kind });
  if (result.kind === "taken") return failed(mayHaveRun());
  if (result.kind === "unavailable") return refuseUnclaimed(call, result);
  const refusal = await recheckBeforeSending(call, context);
  if (refusal) {
    release(result.claim, { call, context });
    return failed(refusal);
  }
  return send(call, { context, claim: result.claim });
}

/** Without a durable claim the call is not sent. */
function refuseUnclaimed(
  call: ServiceCall,
  result: Extract<ClaimResult, { kind: "unavailable" }>,
): ServiceCallResult {
  logClaimFailure(call, result.detail);
  return failed(
    notRun("claims_unavailable", {
      message: "the call cannot be claimed now, so it was not sent",
      retryAfterSeconds: Math.max(1, Math.ceil(result.retryAfterMs / 1_000)),
    }),
  );
}

/**
 * Repeats the checks whose result may have changed while the claim was written
 * or while this process was frozen.
 *
 * The key may have expired if the process was frozen between the first check
 * and the claim; the claim of an earlier run may have been removed by then.
 * Claims are removed only hours after their keys expire. So if the key is
 * still valid here, after the claim, an earlier claim was still stored when
 * this one was written and would have conflicted with it.
 */
async function recheckBeforeSending(
  call: ServiceCall,
  context: ServiceCallContext,
): Promise<CallFailure | null> {
  const refusal = await checkReleaseNote(call.service, context.keeper);
  if (refusal) return refusal;
  if (isExpiredKey(call.idempotencyKey ?? "")) return keyExpired();
  if (Date.now() >= call.deadlineAt) {
    return notRun("deadline", {
      message: "the deadline passed before the call was sent",
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }
  return null;
}

interface ClaimedCall {
  readonly context: ServiceCallContext;
  readonly claim: Claim;
}

/** Tries another server only if the previous ones cannot have run the call. */
async function send(
  call: ServiceCall,
  { context, claim }: ClaimedCall,
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
      settle(claim, { call, context, state: answeredState(result.answer) });
      return answered(result.answer, { repeated: false });
    }
    logServerFailure(call, { server: server.id, result });
    if (result.kind === "broken") {
      return resolveUnknownOutcome(call, {
        context,
        claim,
        reason: result.detail,
      });
    }
  }
  release(claim, { call, context });
  return failed(
    notRun("no_server", {
      message: `no server of '${call.service}' accepted the call; retry it`,
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    }),
  );
}

/** The call may have run; a look-up can find its answer. */
async function resolveUnknownOutcome(
  call: ServiceCall,
  options: ClaimedCall & { readonly reason: string },
): Promise<ServiceCallResult> {
  const { context, claim, reason } = options;
  const lookedUpAnswer = await lookUpAnswer(call, context);
  const state = lookedUpAnswer
    ? answeredState(lookedUpAnswer)
    : unknownState(reason);
  settle(claim, { call, context, state });
  return lookedUpAnswer
    ? answered(lookedUpAnswer, { repeated: false })
    : failed(mayHaveRun());
}

/** Frees the key; the call was not sent by this process and will not be. */
function release(
  claim: Claim,
  options: {
    readonly call: ServiceCall;
    readonly context: ServiceCallContext;
  },
): void {
  const { call, context } = options;
  context.registry.settleNeverSent(call.requestId);
  context.resultRecorder.record(claim, { kind: "released" });
}

/**
 * Records the result in the background, so that the caller does not wait for
 * the store. Until it is recorded, duplicate calls get it from the registry of
 * this process.
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
  context.registry.settle(call.requestId, state);
  context.resultRecorder.record(claim, state);
}

function answeredState(answer: ServiceAnswer): ClaimState {
  if (answer.body.length > MAX_RECORDED_ANSWER_BYTES) {
    return unknownState("it was answered, but the answer is too large to keep");
  }
  return recordOf(answer);
}

function unknownState(reason: string): ClaimState {
  return { kind: "unknown", reason };
}

function keyMissing(call: ServiceCall): CallFailure {
  const { method, path } = call.request;
  return badCall("key_missing", {
    message: `${method} ${path} is not idempotent; send an idempotency-key`,
    status: 400,
  });
}
