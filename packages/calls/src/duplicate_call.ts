/** A call whose key has a claim already: finds out what became of it. */
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
import { findByLookup, mayHaveRun, stillRunning } from "./unknown_outcome.ts";

/** How long the owner may hold one question. */
const LONGEST_WAIT_MS = 1_000;

/** What following a claim came to. */
export type FollowedClaim =
  | { readonly kind: "ended"; readonly result: ServiceCallResult }
  /** The claim at this version is free: its owner never sent the call. */
  | { readonly kind: "free"; readonly neverSent: Claim };

interface SecondCall {
  readonly context: ServiceCallContext;
  readonly request: ClaimRequest;
  readonly claim: Claim;
}

/**
 * Gives the second caller the first answer, waits for it while its owner
 * lives, or tells the truth that none is known.
 *
 * Only the owner's own word frees a claim. An owner that is silent may be
 * frozen between claim and sending and may go on at any time; a second run
 * would follow if anybody else had freed the key meanwhile.
 */
export async function followClaim(
  call: ServiceCall,
  options: SecondCall,
): Promise<FollowedClaim> {
  const { context, request } = options;
  const learned = await learnState(call, options);
  const { claim, state } = learned;
  if (claim.object.fingerprint !== request.fingerprint) {
    return ended(failed(keyReused()));
  }
  switch (state) {
    case "free":
      return { kind: "free", neverSent: claim };
    case "running":
      return ended(failed(stillRunning()));
    default:
      return ended(await replay(call, { context, claim, state }));
  }
}

interface Learned {
  readonly claim: Claim;
  readonly state: ClaimState | "free" | "running";
}

/** Asks the owner, until the call ends or the deadline comes. */
async function learnState(
  call: ServiceCall,
  { context, request, claim: first }: SecondCall,
): Promise<Learned> {
  let claim = first;
  while (claim.object.state.kind === "claimed") {
    if (claim.object.fingerprint !== request.fingerprint) break;
    const leftMs = call.deadlineAt - Date.now();
    if (leftMs <= 0) return { claim, state: "running" };
    const word = await context.owners.ask(claim.object, {
      waitMs: Math.min(leftMs, LONGEST_WAIT_MS),
    });
    if (word.kind === "running") continue;
    if (word.kind === "never_sent") return { claim, state: "free" };
    if (word.kind === "settled") return { claim, state: word.state };
    // The owner cannot say; it may have recorded the end before it went, or
    // another caller may have taken the key over since.
    const reading = await context.claims.read(claim);
    if (reading.kind !== "found") break;
    if (reading.claim.version === claim.version) break;
    claim = reading.claim;
  }
  const { state } = claim.object;
  return { claim, state: state.kind === "released" ? "free" : state };
}

async function replay(
  call: ServiceCall,
  options: {
    readonly context: ServiceCallContext;
    readonly claim: Claim;
    readonly state: ClaimState;
  },
): Promise<ServiceCallResult> {
  const { context, claim, state } = options;
  const kept = keptAnswer(state);
  if (kept) return answered(kept, { repeated: true });
  const found = await findByLookup(call, context);
  if (!found) return failed(mayHaveRun());
  context.ends.record(claim, {
    kind: "answered",
    status: found.status,
    contentType: found.contentType,
    body: found.body.toString("base64"),
  });
  return answered(found, { repeated: true });
}

function keptAnswer(state: ClaimState): ServiceAnswer | null {
  if (state.kind !== "answered") return null;
  const { status, contentType, body } = state;
  return { status, contentType, body: Buffer.from(body, "base64") };
}

function ended(result: ServiceCallResult): FollowedClaim {
  return { kind: "ended", result };
}

function keyReused(): CallFailure {
  return badCall("key_reused", {
    message: "the idempotency-key was used for another call; use a new one",
    status: 422,
  });
}
