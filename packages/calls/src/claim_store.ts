/** Interface of the durable store of claims for at-most-once calls. */
import type { ClaimObject, ClaimState } from "@rosemarypin/schemas";

/** The call that a claim is requested for. */
export interface ClaimRequest {
  readonly service: string;
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly requestId: string;
  /** Digest of method, path and body. */
  readonly fingerprint: string;
}

/** A claim as it was last read or written. */
export interface Claim {
  readonly key: string;
  readonly object: ClaimObject;
  readonly version: number;
}

export type ClaimResult =
  /** The claim is durable: only this call may be sent. */
  | { readonly kind: "claimed"; readonly claim: Claim }
  /** The key already has a claim, which is returned. */
  | { readonly kind: "taken"; readonly claim: Claim }
  /**
   * The claim may not be durable, so the call must never be sent. A delayed
   * write may still create the claim in the store afterwards.
   */
  | {
      readonly kind: "unavailable";
      readonly detail: string;
      readonly retryAfterMs: number;
    };

/** Result of re-reading a claim. */
export type ClaimReading =
  | { readonly kind: "found"; readonly claim: Claim }
  | { readonly kind: "unavailable" };

/** Stores claims where all instances can read them. */
export interface ClaimStore {
  claim(request: ClaimRequest): Promise<ClaimResult>;
  /** Takes over a claim whose owner reported that it never sent the call. */
  takeOver(request: ClaimRequest, unsentClaim: Claim): Promise<ClaimResult>;
  read(claim: Claim): Promise<ClaimReading>;
  /**
   * Records the state of the call unless the claim has changed since it was
   * read. Resolves to `false` if the write could not be confirmed.
   */
  settle(claim: Claim, state: ClaimState): Promise<boolean>;
}
