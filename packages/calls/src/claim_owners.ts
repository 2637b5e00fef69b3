/** How to ask the process that made a claim what became of the call. */
import type { ClaimObject, ClaimWord } from "@rosemarypin/schemas";

/** The owner's word, or why there is none. */
export type OwnerWord =
  | ClaimWord
  /** The process that made the claim has ended. */
  | { readonly kind: "gone" }
  /** No answer: the owner may be frozen or cut off, and may yet go on. */
  | { readonly kind: "silent" };

/** Asks owners, this process itself among them. */
export interface ClaimOwners {
  ask(
    claim: ClaimObject,
    options: { readonly waitMs: number },
  ): Promise<OwnerWord>;
}
