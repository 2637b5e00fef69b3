/** Queries to the process that made a claim, about the state of its call. */
import type { ClaimObject, ClaimStatus } from "@rosemarypin/schemas";

/** The owner's reply, or why there is none. */
export type OwnerReply =
  | ClaimStatus
  /** The process that made the claim has ended. */
  | { readonly kind: "process_ended" }
  /**
   * The owner did not reply. It may be frozen or partitioned and may still
   * send the call later.
   */
  | { readonly kind: "no_reply" };

/** Queries owners of claims, including this process. */
export interface ClaimOwners {
  /** Waits up to `waitMs` for a running call to end. */
  ask(
    claim: ClaimObject,
    options: { readonly waitMs: number },
  ): Promise<OwnerReply>;
}
