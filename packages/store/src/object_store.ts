/** Interface of the platform's object API. */
import type { CallUrgency } from "./call_budget.ts";

/** An object with the version of its last write. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  /** Increases with each write of the object and is never reused. */
  readonly version: number;
}

/** Details of a call that got no usable reply. */
export interface UnansweredCall {
  readonly detail: string;
  /**
   * Set if the failure is no evidence of a store fault, for example if the
   * caller aborted the call or set a very short timeout.
   */
  readonly isInconclusive?: true;
  /**
   * Set if nothing came back in time, though the call was sent or may have
   * been. The connection may have gone silent while the store works.
   */
  readonly isUnanswered?: true;
}

/** Why a call failed. */
export type StoreFailure =
  /** The object is not at the expected version; nothing was written. */
  | { readonly kind: "conflict"; readonly actual: StoredObject | null }
  /**
   * The call certainly had no effect: it was not sent, the connection failed,
   * the reply excludes an effect, or it was a read.
   */
  | ({ readonly kind: "unavailable" } & UnansweredCall)
  /**
   * The write may have taken effect: it was sent, but there was no usable
   * reply, or an error that the store may return after the write.
   */
  | ({ readonly kind: "reply_lost" } & UnansweredCall)
  /** The value exceeds the store's size limit; retries cannot succeed. */
  | { readonly kind: "too_large"; readonly bytes: number }
  /** The call budget of this instance is exhausted; nothing was sent. */
  | { readonly kind: "over_budget"; readonly retryAfterMs: number };

export type StoreResult<T> =
  | { readonly kind: "ok"; readonly value: T }
  | StoreFailure;

/** Position in the store's history, from which a watch resumes. */
export type Revision = number;

/** Result of one watch call. */
export interface WatchBatch {
  readonly objects: readonly StoredObject[];
  /** Position for the next watch; overwritten versions may be skipped. */
  readonly revision: Revision;
  /** Keys of removed objects, if the store reports removals. */
  readonly removed?: readonly string[];
  /** Whether `objects` is complete, so that any other key is removed. */
  readonly isWhole?: boolean;
}

/** Options of a call. */
export interface StoreCallOptions {
  readonly signal?: AbortSignal;
  /** Allows a cheaper read whose result may be seconds old. */
  readonly mayBeStale?: boolean;
  /** Limit from sending to the reply, in milliseconds; excludes queueing. */
  readonly timeoutMs?: number;
  /** Priority when the call budget is short; `control` by default. */
  readonly urgency?: CallUrgency;
  /** Limit of the wait for the call budget in milliseconds; 0 by default. */
  readonly maxWaitMs?: number;
}

/** Versioned objects with conditional updates and watches. */
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
   * Writes the object only if it has `expectedVersion`; `null` means that it
   * must not exist. Resolves to the new version.
   */
  write(
    key: string,
    value: unknown,
    options: StoreCallOptions & { readonly expectedVersion: number | null },
  ): Promise<StoreResult<number>>;
  /** Removes the object only if it has `expectedVersion`. */
  remove(
    key: string,
    options: StoreCallOptions & { readonly expectedVersion: number },
  ): Promise<StoreResult<null>>;
  /**
   * Waits for a change under `prefix` after `since`; with 0 it returns all
   * objects at once. The store may return an empty batch after its hold time.
   */
  watch(
    prefix: string,
    options: StoreCallOptions & { readonly since: Revision },
  ): Promise<StoreResult<WatchBatch>>;
}
