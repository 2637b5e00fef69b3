/** Durable claims of calls that may run at most once. */
import type { ObjectStore, StoredObject } from "@rosemarypin/platform";
import {
  type ClaimObject,
  claimObjectSchema,
  storedKeys,
} from "@rosemarypin/schemas";

/** Writes of a final state are tried this often. */
const SETTLE_TRIES = 3;

/** The call that asks for a claim. */
export interface ClaimRequest {
  readonly service: string;
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly requestId: string;
  readonly fingerprint: string;
}

/** The right to send the call once. */
export interface Claim {
  readonly key: string;
  readonly object: ClaimObject;
  readonly version: number;
}

export type ClaimResult =
  | { readonly kind: "claimed"; readonly claim: Claim }
  /** The key was used before; here is what became of it. */
  | { readonly kind: "taken"; readonly object: ClaimObject }
  /** The claim is not known to be durable, so the call must not be sent. */
  | { readonly kind: "unavailable"; readonly detail: string };

/** Keeps claims in the platform's object API. */
export interface ClaimStore {
  claim(request: ClaimRequest): Promise<ClaimResult>;
  /** Records the end of the call; `false` when that did not succeed. */
  settle(claim: Claim, state: ClaimObject["state"]): Promise<boolean>;
}

/** Creates a store with one object for each key. */
export function createClaimStore(options: {
  readonly deployment: string;
  readonly owner: string;
  readonly incarnation: number;
  readonly store: ObjectStore;
}): ClaimStore {
  const { store } = options;

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

  async function claim(request: ClaimRequest): Promise<ClaimResult> {
    const name = `${request.organisation}/${request.idempotencyKey}`;
    const key = storedKeys.claim(options.deployment, request.service, name);
    const object = newObject(request);
    const written = await store.write(key, object, { expectedVersion: null });
    if (written.kind === "ok") {
      return {
        kind: "claimed",
        claim: { key, object, version: written.value },
      };
    }
    if (written.kind === "conflict") {
      return takeOver(key, { object, existing: written.actual });
    }
    if (written.kind === "reply_lost") return readBack(key, object);
    return { kind: "unavailable", detail: written.kind };
  }

  /** A released claim is free again; any other one stays with its owner. */
  async function takeOver(
    key: string,
    options: {
      readonly object: ClaimObject;
      readonly existing: StoredObject | null;
    },
  ): Promise<ClaimResult> {
    const { object, existing } = options;
    const known = parseClaim(existing);
    if (!known || !existing) {
      return { kind: "unavailable", detail: "the claim could not be read" };
    }
    if (known.requestId === object.requestId) {
      const { version } = existing;
      return { kind: "claimed", claim: { key, object: known, version } };
    }
    const sameCall = known.fingerprint === object.fingerprint;
    if (known.state.kind !== "released" || !sameCall) {
      return { kind: "taken", object: known };
    }
    const written = await store.write(key, object, {
      expectedVersion: existing.version,
    });
    if (written.kind === "ok") {
      return {
        kind: "claimed",
        claim: { key, object, version: written.value },
      };
    }
    if (written.kind === "reply_lost") return readBack(key, object);
    return { kind: "unavailable", detail: written.kind };
  }

  /** A lost reply hides whether the claim was written; its id tells. */
  async function readBack(
    key: string,
    object: ClaimObject,
  ): Promise<ClaimResult> {
    const read = await store.read(key);
    if (read.kind !== "ok" || read.value === null) {
      return { kind: "unavailable", detail: "the store's answer was lost" };
    }
    return takeOver(key, { object, existing: read.value });
  }

  async function settle(
    claim: Claim,
    state: ClaimObject["state"],
  ): Promise<boolean> {
    const object = { ...claim.object, state };
    for (let tries = 0; tries < SETTLE_TRIES; tries++) {
      const written = await store.write(claim.key, object, {
        expectedVersion: claim.version,
      });
      if (written.kind === "ok") return true;
      if (written.kind === "conflict") {
        const actual = parseClaim(written.actual);
        return actual?.state.kind === state.kind;
      }
    }
    return false;
  }

  return { claim, settle };
}

function parseClaim(object: StoredObject | null): ClaimObject | null {
  const parsed = claimObjectSchema.safeParse(object?.value);
  return parsed.success ? parsed.data : null;
}
