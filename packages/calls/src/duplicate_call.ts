/** Duplicate calls: the key already has a claim of an earlier call. */
import type { ServiceAnswer } from "@rosemarypin/backends";
import type { ClaimState } from "@rosemarypin/schemas";
import { badCall, type CallFailure } from "./call_failure.ts";
import type { Claim, ClaimRequest } from "./claim_store.ts";
import {
  answered,
  failed,
  type ServiceCall,
  type ServiceCallContext,
  type ServiceCallResult,
} from "./service_context.ts";
import { lookUpAnswer, mayHaveRun, stillRunning } from "./unknown_outcome.ts";

/** Limit of the time that the owner waits before it replies `running`. */
const MAX_OWNER_WAIT_MS = 1_000;

/** Outcome of a duplicate call. */
export type ExistingClaimOutcome =
  | { readonly kind: "ended"; readonly result: ServiceCallResult }
  /** The claim may be taken over: its owner never sent the call. */
  | { readonly kind: "free"; readonly unsentClaim: Claim };

interface DuplicateCall {
  readonly context: ServiceCallContext;
  readonly request: ClaimRequest;
  readonly claim: Claim;
}

/**
 * Resolves a duplicate call with the answer of the first call. Waits for that
 * answer while the first call runs, and fails with `outcome_unknown` if there
 * is none.
 *
 * Only the owner of a claim can free it. An owner that does not reply may be
 * frozen between claim and sending, and would still send the call when it
 * resumes; had another instance freed the key, the call would run twice.
 */
export async function resolveExistingClaim(
  call: ServiceCall,
  options: DuplicateCall,
): Promise<ExistingClaimOutcome> {
  const { context, request } = options;
  const current = await awaitClaimState(call, options);
  const { claim, state } = current;
  if (claim.object.fingerprint !== request.fingerprint) {
    return endedWith(failed(keyReused()));
  }
  switch (state) {
    case "free":
      return { kind: "free", unsentClaim: claim };
    case "running":
      return endedWith(failed(stillRunning()));
    default:
      return endedWith(await replay(call, { context, claim, state }));
  }
}

interface CurrentClaim {
  readonly claim: Claim;
  readonly state: ClaimState | "free" | "running";
}

/** Queries the owner until the first call ends or the deadline passes. */
async function awaitClaimState(
  call: ServiceCall,
  { context, request, claim: first }: DuplicateCall,
): Promise<CurrentClaim> {
  let claim = first;
  while (claim.object.state.kind === "claimed") {
    if (claim.object.fingerprint !== request.fingerprint) break;
    const leftMs = call.deadlineAt - Date.now();
    if (leftMs <= 0) return { claim, state: "running" };
    const ownerReply = await context.owners.ask(claim.object, {
      waitMs: Math.min(leftMs, MAX_OWNER_WAIT_MS),
    });
    if (ownerReply.kind === "running") continue;
    if (ownerReply.kind === "never_sent") return { claim, state: "free" };
    if (ownerReply.kind === "settled")
      return { claim, state: ownerReply.state };
    // The owner did not report a state. It may have recorded the result before
    // it ended, or another call may have taken the claim over.
    const reading = await context.claims.read(claim);
    if (reading.kind !== "found") break;
    if (reading.claim.version === claim.version) break;
    claim = reading.claim;
  }
  const { state } = claim.object;
  return { claim, state: state.kind === "released" ? "free" : state };
}

/** Answers from the recorded state, or else from a look-up. */
async function replay(
  call: ServiceCall,
  options: {
    readonly context: ServiceCallContext;
    readonly claim: Claim;
    readonly state: ClaimState;
  },
): Promise<ServiceCallResult> {
  const { context, claim, state } = options;
  const recorded = recordedAnswer(state);
  if (recorded) return answered(recorded, { repeated: true });
  const lookedUpAnswer = await lookUpAnswer(call, context);
  if (!lookedUpAnswer) return failed(mayHaveRun());
  context.resultRecorder.record(claim, recordOf(lookedUpAnswer));
  return answered(lookedUpAnswer, { repeated: true });
}

/** The state of a claim that keeps the answer. */
export function recordOf(answer: ServiceAnswer): ClaimState {
  const body = answer.body.toString("base64");
  return { kind: "answered", ...answer, body };
}

function recordedAnswer(state: ClaimState): ServiceAnswer | null {
  if (state.kind !== "answered") return null;
  const { kind: _, body, ...answer } = state;
  return { ...answer, body: Buffer.from(body, "base64") };
}

function endedWith(result: ServiceCallResult): ExistingClaimOutcome {
  return { kind: "ended", result };
}

function keyReused(): CallFailure {
  return badCall("key_reused", {
    message: "the idempotency-key was used for a different call; use a new one",
    status: 422,
  });
}
