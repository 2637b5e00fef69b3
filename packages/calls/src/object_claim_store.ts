/** Claims kept as one object of the platform's object API for each key. */

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
import { createOutageGate } from "./claim_store_breaker.ts";

const WRITE_TRIES = 3;
/** A write without a reply is given up, and written again, after this. */
const WRITE_TIMEOUT_MS = 700;
/** A call that would wait longer for its claim's turn is refused at once. */
const CLAIM_WAIT_MS = 500;
/** Nobody waits for the record of an end. */
const END_WAIT_MS = 5_000;

export interface RecordClaimsOptions {
  readonly deployment: string;
  readonly owner: string;
  /** Start of the owner's process, to tell it from an earlier one. */
  readonly incarnation: number;
  readonly store: ObjectStore;
}

/** Creates a store with one object for each key. */
export function createRecordClaims(options: RecordClaimsOptions): ClaimStore {
  const { store } = options;
  const gate = createOutageGate();

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

  function keyOf(request: ClaimRequest): string {
    const name = claimName(request);
    return storedKeys.claim(options.deployment, request.service, name);
  }

  /**
   * Writes the claim until the store says who has the key.
   *
   * A lost reply hides whether the write took effect. The same conditional
   * write is made again: if the first one landed, the second conflicts with
   * an object that carries this request's own id; if not, the second lands
   * and the first, should it come late, conflicts.
   */
  async function write(
    request: ClaimRequest,
    firstExpected: number | null,
  ): Promise<ClaimResult> {
    const waitMs = gate.waitMs();
    if (waitMs > 0) return unavailable("the store is away", waitMs);
    const key = keyOf(request);
    const object = newObject(request);
    let expectedVersion = firstExpected;
    let detail = "";
    for (let tries = 0; tries < WRITE_TRIES; tries++) {
      const written = await store.write(key, object, {
        expectedVersion,
        timeoutMs: WRITE_TIMEOUT_MS,
        urgency: "begin",
        longestWaitMs: CLAIM_WAIT_MS,
      });
      if (written.kind === "ok") {
        gate.succeeded();
        const version = written.value;
        return { kind: "claimed", claim: { key, object, version } };
      }
      if (written.kind === "reply_lost") {
        detail = written.detail;
        continue;
      }
      if (written.kind !== "conflict") return refuse(written);
      gate.succeeded();
      const existing = parseClaim(written.actual);
      if (written.actual !== null && !existing) {
        return unavailable("the claim could not be read", gate.retryMs);
      }
      if (existing && !isFree(existing, object)) {
        return isOwn(existing, object)
          ? { kind: "claimed", claim: existing }
          : { kind: "taken", claim: existing };
      }
      expectedVersion = existing?.version ?? null;
    }
    gate.failed();
    return unavailable(detail, gate.retryMs);
  }

  function refuse(failure: StoreFailure): ClaimResult {
    if (failure.kind === "over_budget") {
      return unavailable("the budget of store calls", failure.retryAfterMs);
    }
    gate.failed();
    return unavailable(failure.kind, gate.retryMs);
  }

  async function settle(claim: Claim, state: ClaimState): Promise<boolean> {
    const object = { ...claim.object, state };
    for (let tries = 0; tries < WRITE_TRIES; tries++) {
      const written = await store.write(claim.key, object, {
        expectedVersion: claim.version,
        urgency: "finish",
        longestWaitMs: END_WAIT_MS,
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
    claim: (request) => write(request, null),
    reuse: (request, neverSent) => write(request, neverSent.version),
    read,
    settle,
  };
}

/** A released claim is free for the same call; any other keeps its owner. */
function isFree({ object }: Claim, wanted: ClaimObject): boolean {
  const sameCall = object.fingerprint === wanted.fingerprint;
  return object.state.kind === "released" && sameCall;
}

function isOwn({ object }: Claim, wanted: ClaimObject): boolean {
  const sameRequest = object.requestId === wanted.requestId;
  return sameRequest && object.state.kind === "claimed";
}

function parseClaim(stored: StoredObject | null): Claim | null {
  const parsed = claimObjectSchema.safeParse(stored?.value);
  if (!stored || !parsed.success) return null;
  return { key: stored.key, object: parsed.data, version: stored.version };
}

function unavailable(detail: string, retryAfterMs: number): ClaimResult {
  return { kind: "unavailable", detail, retryAfterMs };
}
