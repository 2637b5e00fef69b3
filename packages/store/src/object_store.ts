/** The platform's object API as the rest of rosemarypin sees it. */
import type { CallUrgency } from "./call_budget.ts";

/** An object with the version that its last write gave it. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  /** Grows with each write of the object; never used twice. */
  readonly version: number;
}

/** What is known of a call that gave no result. */
export interface BrokenCall {
  readonly detail: string;
  /**
   * Set where the failure says nothing against the store: the caller gave up,
   * or waited for less time than a store may take.
   */
  readonly storeMayWork?: true;
}

/** Why a call gave no result. */
export type StoreFailure =
  /** The object is not at the expected version; nothing was written. */
  | { readonly kind: "conflict"; readonly actual: StoredObject | null }
  /**
   * Certainly without effect: not sent, never connected, an answer that says
   * so, or a call that only reads.
   */
  | ({ readonly kind: "unavailable" } & BrokenCall)
  /**
   * The write may have taken effect: it was sent, and no usable answer came,
   * or one that a store may give after it has written.
   */
  | ({ readonly kind: "reply_lost" } & BrokenCall)
  /** The value is larger than the store takes; a retry cannot help. */
  | { readonly kind: "too_large"; readonly bytes: number }
  /** This instance has used up its calls for now; nothing was sent. */
  | { readonly kind: "over_budget"; readonly retryAfterMs: number };

export type StoreResult<T> =
  | { readonly kind: "ok"; readonly value: T }
  | StoreFailure;

/** Position in the store's history, from which a watch goes on. */
export type Revision = number;

/** What a watch brought. */
export interface WatchBatch {
  readonly objects: readonly StoredObject[];
  /** Where to go on; may skip versions that were overwritten meanwhile. */
  readonly revision: Revision;
  /** Keys of objects that were removed, where the store tells them. */
  readonly removed?: readonly string[];
  /** Whether `objects` is all there is, so that any other key is gone. */
  readonly isWhole?: boolean;
}

/** Options of a call that may be given up. */
export interface StoreCallOptions {
  readonly signal?: AbortSignal;
  /** A read may bring what was true seconds ago, at a lower price. */
  readonly mayBeStale?: boolean;
  /** From sending to the answer, in milliseconds; the wait for a turn apart. */
  readonly timeoutMs?: number;
  /** Who goes first when calls are short; `control` when left out. */
  readonly urgency?: CallUrgency;
  /** How long the call may wait for its turn, in milliseconds; 0 if left out. */
  readonly longestWaitMs?: number;
}

/** Versions, conditional updates and watches. */
export interface ObjectStore {
  read(
    key: string,
    options?: StoreCallOptions,
  ): Promise<StoreResult<StoredObject | null>>;
  list(
    prefix: string,
    options?: StoreCallOptions,
  ): Promise<StoreResult<readonly StoredObject[]>>;
  /**
   * Writes only if the object is at `expectedVersion`; `null` means that it
   * must not exist. Resolves to the new version.
   */
  write(
    key: string,
    value: unknown,
    options: StoreCallOptions & { readonly expectedVersion: number | null },
  ): Promise<StoreResult<number>>;
  /** Removes the object only if it is at `expectedVersion`. */
  remove(
    key: string,
    options: StoreCallOptions & { readonly expectedVersion: number },
  ): Promise<StoreResult<null>>;
  /**
   * Waits until something under `prefix` is newer than `since`; with 0 it
   * brings all there is at once. A store may answer after a while without any
   * change.
   */
  watch(
    prefix: string,
    options: StoreCallOptions & { readonly since: Revision },
  ): Promise<StoreResult<WatchBatch>>;
}
