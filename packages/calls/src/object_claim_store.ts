/** Claim store that keeps one object per key in the platform's object API. */

import {
  type ClaimObject,
  type ClaimState,
  claimObjectSchema,
  storedKeys,
} from "@rosemarypin/schemas";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
} from "@rosemarypin/store";
import { claimName } from "./claim_key.ts";
import type {
  Claim,
  ClaimReading,
  ClaimRequest,
  ClaimResult,
  ClaimStore,
} from "./claim_store.ts";
import { createClaimStoreBreaker } from "./claim_store_breaker.ts";

const MAX_WRITE_ATTEMPTS = 3;
/** A write without a reply is retried after this time. */
const WRITE_TIMEOUT_MS = 700;
/** A claim that would wait longer for its store call is refused at once. */
const MAX_CLAIM_WAIT_MS = 500;
/** Longer than for claims, as no caller waits for a result's record. */
const MAX_RESULT_WAIT_MS = 5_000;

export interface ObjectClaimStoreOptions {
  readonly deployment: string;
  readonly owner: string;
  /** Start time of the owner's process; distinguishes its restarts. */
  readonly incarnation: number;
  readonly store: ObjectStore;
}

/** Creates a claim store that writes claims in the name of `owner`. */
export function createObjectClaimStore(
  options: ObjectClaimStoreOptions,
): ClaimStore {
  const { store } = options;
  const breaker = createClaimStoreBreaker();

  function newObject(request: ClaimRequest): ClaimObject {
    return {
      requestId: request.requestId,
      owner: options.owner,
      incarnation: options.incarnation,
      fingerprint: request.fingerprint,
      claimedAt: Date.now(),
      state: { kind: "claimed" },
    };
  }

  function objectKeyOf(request: ClaimRequest): string {
    const name = claimName(request);
    return storedKeys.claim(options.deployment, request.service, name);
  }

  /**
   * Retries the write until the store confirms which request has the key.
   *
   * After a lost reply it is unknown whether the write took effect, so the
   * same conditional write is retried. If the first write took effect, the
   * retry conflicts with an object that carries this request's id. If not,
   * the retry takes effect, and the first write conflicts if it arrives late.
   */
  async function writeClaim(
    request: ClaimRequest,
    initialVersion: number | null,
  ): Promise<ClaimResult> {
    const waitMs = breaker.admit();
    if (waitMs > 0) return unavailable("the store is unavailable", waitMs);
    const key = objectKeyOf(request);
    const object = newObject(request);
    let expectedVersion = initialVersion;
    let detail = "";
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const written = await store.write(key, object, {
        expectedVersion,
        timeoutMs: WRITE_TIMEOUT_MS,
        urgency: "begin",
        maxWaitMs: MAX_CLAIM_WAIT_MS,
      });
      if (written.kind === "ok") {
        breaker.recordSuccess();
        const version = written.value;
        return { kind: "claimed", claim: { key, object, version } };
      }
      if (written.kind === "reply_lost") {
        detail = written.detail;
        continue;
      }
      if (written.kind !== "conflict") return unavailableAfter(written);
      breaker.recordSuccess();
      const existing = parseClaim(written.actual);
      if (written.actual !== null && !existing) {
        return unavailable("the claim could not be read", breaker.retryAfterMs);
      }
      if (existing && !isReusable(existing, object)) {
        return isSameRequest(existing, object)
          ? { kind: "claimed", claim: existing }
          : { kind: "taken", claim: existing };
      }
      expectedVersion = existing?.version ?? null;
    }
    breaker.recordFailure();
    return unavailable(detail, breaker.retryAfterMs);
  }

  function unavailableAfter(failure: StoreFailure): ClaimResult {
    if (failure.kind === "over_budget") {
      return unavailable(
        "the budget of store calls is used up",
        failure.retryAfterMs,
      );
    }
    breaker.recordFailure();
    return unavailable(failure.kind, breaker.retryAfterMs);
  }

  async function settle(claim: Claim, state: ClaimState): Promise<boolean> {
    const object = { ...claim.object, state };
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const written = await store.write(claim.key, object, {
        expectedVersion: claim.version,
        urgency: "finish",
        maxWaitMs: MAX_RESULT_WAIT_MS,
      });
      if (written.kind === "ok" || written.kind === "conflict") return true;
      if (written.kind !== "reply_lost") return false;
    }
    return false;
  }

  async function read({ key }: Claim): Promise<ClaimReading> {
    const result = await store.read(key);
    const claim = result.kind === "ok" ? parseClaim(result.value) : null;
    return claim ? { kind: "found", claim } : { kind: "unavailable" };
  }

  return {
    claim: (request) => writeClaim(request, null),
    takeOver: (request, unsentClaim) =>
      writeClaim(request, unsentClaim.version),
    read,
    settle,
  };
}

/** A released claim may be reused, but only by a call of equal content. */
function isReusable({ object }: Claim, wanted: ClaimObject): boolean {
  const isSameCall = object.fingerprint === wanted.fingerprint;
  return object.state.kind === "released" && isSameCall;
}

function isSameRequest({ object }: Claim, wanted: ClaimObject): boolean {
  const hasSameId = object.requestId === wanted.requestId;
  return hasSameId && object.state.kind === "claimed";
}

function parseClaim(stored: StoredObject | null): Claim | null {
  const parsed = claimObjectSchema.safeParse(stored?.value);
  if (!stored || !parsed.success) return null;
  return { key: stored.key, object: parsed.data, version: stored.version };
}

function unavailable(detail: string, retryAfterMs: number): ClaimResult {
  return { kind: "unavailable", detail, retryAfterMs };
}
