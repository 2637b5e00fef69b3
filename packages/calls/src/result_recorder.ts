/** Records behind the answers what became of calls that run at most once. */
import type { ClaimEnd, ClaimState } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { Claim, ClaimStore } from "./claim_store.ts";
import { logSettleFailure } from "./service_log.ts";

const RETRY_MS = 5_000;
const GIVE_UP_AFTER_MS = 600_000;
/** Ends of other instances that are taken over at once, at most. */
const LARGEST_ADOPTED = 1_000;

/** Gives an end to another instance; resolves to whether it was taken. */
export type GiveEnd = (end: ClaimEnd) => Promise<boolean>;

/** Keeps at it until each end is recorded. */
export interface EndRecorder {
  /** Begins to record the end of a claim of this instance. */
  record(claim: Claim, state: ClaimState): void;
  /** Takes over an end of an instance that stops; `false` when full. */
  adopt(end: ClaimEnd): boolean;
  /** Ends that are not recorded yet. */
  count(): number;
  /** Resolves once all are recorded, or after `withinMs`. */
  finish(withinMs: number): Promise<void>;
  /** Gives away what is not recorded; resolves to how many are left. */
  handOver(give: GiveEnd): Promise<number>;
}

interface Pending {
  readonly end: ClaimEnd;
  readonly given: AbortController;
}

/**
 * Creates a recorder.
 *
 * An end is written on condition that the claim is as it was, so two
 * instances that record the same one, when a hand-over's reply was lost, do
 * no harm: the second finds that the claim has moved on and is done.
 */
export function createEndRecorder(options: {
  readonly claims: Pick<ClaimStore, "settle">;
}): EndRecorder {
  const pending = new Set<Pending>();
  const idle = new Set<() => void>();
  let adopted = 0;

  async function keepTrying({ end, given }: Pending): Promise<void> {
    const { state, ...claim } = end;
    const giveUpAt = performance.now() + GIVE_UP_AFTER_MS;
    for (let tries = 1; performance.now() < giveUpAt; tries++) {
      const isRecorded = await options.claims.settle(claim, state);
      if (isRecorded || given.signal.aborted) return;
      logSettleFailure(claim.object.requestId, tries);
      await pause(RETRY_MS, given.signal);
      if (given.signal.aborted) return;
    }
  }

  async function begin(end: ClaimEnd): Promise<void> {
    const entry = { end, given: new AbortController() };
    pending.add(entry);
    try {
      await keepTrying(entry);
    } finally {
      pending.delete(entry);
      if (pending.size === 0) for (const wake of [...idle]) wake();
    }
  }

  return {
    record(claim, state) {
      void begin({ ...claim, state });
    },
    adopt(end) {
      if (adopted >= LARGEST_ADOPTED) return false;
      adopted += 1;
      void begin(end).finally(() => {
        adopted -= 1;
      });
      return true;
    },
    count: () => pending.size,
    async finish(withinMs) {
      if (pending.size === 0) return;
      const done = new AbortController();
      const wake = () => done.abort();
      idle.add(wake);
      await pause(withinMs, done.signal);
      idle.delete(wake);
    },
    async handOver(give) {
      for (const entry of [...pending]) {
        if (!(await give(entry.end))) continue;
        entry.given.abort();
        pending.delete(entry);
      }
      return pending.size;
    },
  };
}
