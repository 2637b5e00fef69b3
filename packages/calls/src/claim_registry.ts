/** In-memory state of the calls that this process has claimed. */
import type {
  ClaimQuestion,
  ClaimState,
  ClaimStatus,
} from "@rosemarypin/schemas";

/** Limit of entries; the oldest ended calls are evicted first. */
const MAX_RETAINED_CALLS = 1_000;
/** Limit of all retained answers; a few large ones could fill the heap. */
const MAX_RETAINED_ANSWER_BYTES = 8 * 1024 * 1024;

const NEVER_SENT_STATUS: ClaimStatus = { kind: "never_sent" };

/** State of this process's claims, for duplicate calls on any instance. */
export interface ClaimRegistry {
  /** Adds a call; must be called before its claim is first written. */
  begin(requestId: string): void;
  /** Marks the call as possibly running; called before it is sent. */
  markSending(requestId: string): void;
  /** Ends the call as one that was not and will not be sent. */
  settleNeverSent(requestId: string): void;
  /** Ends the call with the state of its claim; keeps an earlier end. */
  settle(requestId: string, state: ClaimState): void;
  /**
   * Ends the call if it still counts as running, for example after an
   * exception: as unknown if it may have been sent, else as never sent.
   */
  close(requestId: string): void;
  /**
   * Returns the state of a call. Waits up to `waitMs` while the call runs.
   * Calls of another incarnation and evicted calls are `forgotten`.
   */
  ask(question: ClaimQuestion): Promise<ClaimStatus>;
}

interface Entry {
  status: ClaimStatus;
  mayHaveRun: boolean;
  readonly waiters: Set<() => void>;
}

/** Creates the registry of the process that started at `incarnation`. */
export function createClaimRegistry(options: {
  readonly incarnation: number;
}): ClaimRegistry {
  const entries = new Map<string, Entry>();
  let retainedAnswerBytes = 0;

  function end(requestId: string, status: ClaimStatus): void {
    const entry = entries.get(requestId);
    if (entry?.status.kind !== "running") return;
    entry.status = status;
    retainedAnswerBytes += sizeOf(status);
    for (const wakeWaiter of entry.waiters) wakeWaiter();
    evictOldest();
  }

  function evictOldest(): void {
    for (const [requestId, { status }] of entries) {
      const isFull =
        entries.size > MAX_RETAINED_CALLS ||
        retainedAnswerBytes > MAX_RETAINED_ANSWER_BYTES;
      if (!isFull) return;
      if (status.kind === "running") continue;
      entries.delete(requestId);
      retainedAnswerBytes -= sizeOf(status);
    }
  }

  function waitForEnd(entry: Entry, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(wakeWaiter, waitMs);
      entry.waiters.add(wakeWaiter);
      function wakeWaiter(): void {
        clearTimeout(timer);
        entry.waiters.delete(wakeWaiter);
        resolve();
      }
    });
  }

  return {
    begin(requestId) {
      entries.set(requestId, {
        status: { kind: "running" },
        mayHaveRun: false,
        waiters: new Set(),
      });
    },
    markSending(requestId) {
      const entry = entries.get(requestId);
      if (entry) entry.mayHaveRun = true;
    },
    settleNeverSent: (requestId) => end(requestId, NEVER_SENT_STATUS),
    settle: (requestId, state) => end(requestId, { kind: "settled", state }),
    close(requestId) {
      const mayHaveRun = entries.get(requestId)?.mayHaveRun ?? false;
      const reason = "the instance failed while the call ran";
      const state: ClaimState = { kind: "unknown", reason };
      end(
        requestId,
        mayHaveRun ? { kind: "settled", state } : NEVER_SENT_STATUS,
      );
    },
    async ask({ incarnation, requestId, waitMs }) {
      const entry = entries.get(requestId);
      if (!entry || incarnation !== options.incarnation) {
        return { kind: "forgotten" };
      }
      if (entry.status.kind === "running") await waitForEnd(entry, waitMs);
      return entry.status;
    },
  };
}

function sizeOf(status: ClaimStatus): number {
  if (status.kind !== "settled") return 0;
  return status.state.kind === "answered" ? status.state.body.length : 0;
}
