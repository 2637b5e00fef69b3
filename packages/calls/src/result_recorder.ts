/**
 * Records the results of at-most-once calls in their claims, in the background
 * so that callers do not wait for the store.
 */
import type { ClaimResultRecord, ClaimState } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { Claim, ClaimStore } from "./claim_store.ts";
import { logRecordFailure } from "./service_log.ts";

const RETRY_INTERVAL_MS = 5_000;
const MAX_RETRY_DURATION_MS = 600_000;
/** Limit of unrecorded results adopted from instances that are stopping. */
const MAX_ADOPTED_RESULTS = 1_000;

/** Sends a result to another instance; resolves to whether it accepted. */
export type SendResult = (result: ClaimResultRecord) => Promise<boolean>;

/** Retries until each result is recorded or its retry period is over. */
export interface ResultRecorder {
  /** Starts to record the result of a call that this instance handled. */
  record(claim: Claim, state: ClaimState): void;
  /** Accepts a result of a stopping instance; returns `false` when full. */
  adopt(result: ClaimResultRecord): boolean;
  /** Number of results that are not recorded yet. */
  count(): number;
  /** Resolves when no result is pending, or after `withinMs`. */
  finish(withinMs: number): Promise<void>;
  /**
   * Hands unrecorded results over to other instances; resolves to the number
   * of results that are still pending here.
   */
  handOver(send: SendResult): Promise<number>;
}

interface PendingResult {
  readonly result: ClaimResultRecord;
  readonly handedOver: AbortController;
}

/**
 * Creates a recorder.
 *
 * Two instances may record the same result, if the reply to a hand-over was
 * lost. This is safe because each write is conditional on the claim's version:
 * the second write conflicts, which ends its retries.
 */
export function createResultRecorder(options: {
  readonly claims: Pick<ClaimStore, "settle">;
}): ResultRecorder {
  const pending = new Set<PendingResult>();
  const idleListeners = new Set<() => void>();
  let adoptedCount = 0;

  async function recordWithRetries({
    result,
    handedOver,
  }: PendingResult): Promise<void> {
    const { state, ...claim } = result;
    const retryUntil = performance.now() + MAX_RETRY_DURATION_MS;
    for (let attempts = 1; performance.now() < retryUntil; attempts++) {
      const isRecorded = await options.claims.settle(claim, state);
      if (isRecorded || handedOver.signal.aborted) return;
      logRecordFailure(claim.object.requestId, attempts);
      await pause(RETRY_INTERVAL_MS, handedOver.signal);
      if (handedOver.signal.aborted) return;
    }
  }

  async function startRecording(result: ClaimResultRecord): Promise<void> {
    const entry = { result, handedOver: new AbortController() };
    pending.add(entry);
    try {
      await recordWithRetries(entry);
    } finally {
      pending.delete(entry);
      if (pending.size === 0) for (const wake of [...idleListeners]) wake();
    }
  }

  return {
    record(claim, state) {
      void startRecording({ ...claim, state });
    },
    adopt(result) {
      if (adoptedCount >= MAX_ADOPTED_RESULTS) return false;
      adoptedCount += 1;
      void startRecording(result).finally(() => {
        adoptedCount -= 1;
      });
      return true;
    },
    count: () => pending.size,
    async finish(withinMs) {
      if (pending.size === 0) return;
      const done = new AbortController();
      const wake = () => done.abort();
      idleListeners.add(wake);
      await pause(withinMs, done.signal);
      idleListeners.delete(wake);
    },
    async handOver(send) {
      for (const entry of [...pending]) {
        if (!(await send(entry.result))) continue;
        entry.handedOver.abort();
        pending.delete(entry);
      }
      return pending.size;
    },
  };
}
