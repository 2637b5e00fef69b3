/** What a durable record of calls that run at most once must offer. */
import type { ClaimObject, ClaimState } from "@rosemarypin/schemas";

/** The call that asks for a claim. */
export interface ClaimRequest {
  readonly service: string;
  readonly organisation: string;
  readonly idempotencyKey: string;
  readonly requestId: string;
  /** Digest of method, path and body. */
  readonly fingerprint: string;
}

/** A claim as it was last seen. */
export interface Claim {
  readonly key: string;
  readonly object: ClaimObject;
  readonly version: number;
}

export type ClaimResult =
  /** The claim is durable: this call, and no other, may be sent. */
  | { readonly kind: "claimed"; readonly claim: Claim }
  /** The key was used before; here is what is known of it. */
  | { readonly kind: "taken"; readonly claim: Claim }
  /**
   * The claim is not known to be durable, so the call must never be sent.
   * The claim may still turn up in the store, if its write was late.
   */
  | {
      readonly kind: "unavailable";
      readonly detail: string;
      readonly retryAfterMs: number;
    };

/** What became of a claim in the meantime. */
export type ClaimReading =
  | { readonly kind: "found"; readonly claim: Claim }
  | { readonly kind: "unavailable" };

/** Keeps claims where all instances see them. */
export interface ClaimStore {
  claim(request: ClaimRequest): Promise<ClaimResult>;
  /** Takes over a claim whose owner says that it never sent the call. */
  reuse(request: ClaimRequest, neverSent: Claim): Promise<ClaimResult>;
  read(claim: Claim): Promise<ClaimReading>;
  /**
   * Records what became of the call, unless the claim has moved on; `false`
   * when the store could not be reached.
   */
  settle(claim: Claim, state: ClaimState): Promise<boolean>;
}
