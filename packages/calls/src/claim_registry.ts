/** What this process knows of the calls it has claimed itself. */
import type {
  ClaimQuestion,
  ClaimState,
  ClaimWord,
} from "@rosemarypin/schemas";

/** Ended calls that are remembered; the oldest are forgotten first. */
const LARGEST_MEMORY = 1_000;
/** Bound of the answers among them; a few large ones would fill the heap. */
const LARGEST_MEMORY_BYTES = 8 * 1024 * 1024;

const NEVER_SENT: ClaimWord = { kind: "never_sent" };

/** The owner's word on its claims, for second callers anywhere. */
export interface ClaimRegistry {
  /** Called before the claim is first written. */
  begin(requestId: string): void;
  /** From now on the call may have run. */
  markSending(requestId: string): void;
  /** The call did not run and, from now on, never will under this claim. */
  endUnsent(requestId: string): void;
  endSent(requestId: string, state: ClaimState): void;
  /** The call has ended, by whatever way; an earlier word stays. */
  close(requestId: string): void;
  /** Answers a second caller; waits for a call that still runs. */
  ask(question: ClaimQuestion): Promise<ClaimWord>;
}

interface Entry {
  word: ClaimWord;
  sending: boolean;
  readonly waiters: Set<() => void>;
}

/** Creates the memory of the process that started at `incarnation`. */
export function createClaimRegistry(options: {
  readonly incarnation: number;
}): ClaimRegistry {
  const entries = new Map<string, Entry>();
  let bytes = 0;

  function end(requestId: string, word: ClaimWord): void {
    const entry = entries.get(requestId);
    if (entry?.word.kind !== "running") return;
    entry.word = word;
    bytes += sizeOf(word);
    for (const wake of entry.waiters) wake();
    forgetOldest();
  }

  function forgetOldest(): void {
    for (const [requestId, { word }] of entries) {
      const isFull =
        entries.size > LARGEST_MEMORY || bytes > LARGEST_MEMORY_BYTES;
      if (!isFull) return;
      if (word.kind === "running") continue;
      entries.delete(requestId);
      bytes -= sizeOf(word);
    }
  }

  function waitForEnd(entry: Entry, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(wake, waitMs);
      entry.waiters.add(wake);
      function wake(): void {
        clearTimeout(timer);
        entry.waiters.delete(wake);
        resolve();
      }
    });
  }

  return {
    begin(requestId) {
      entries.set(requestId, {
        word: { kind: "running" },
        sending: false,
        waiters: new Set(),
      });
    },
    markSending(requestId) {
      const entry = entries.get(requestId);
      if (entry) entry.sending = true;
    },
    endUnsent: (requestId) => end(requestId, NEVER_SENT),
    endSent: (requestId, state) => end(requestId, { kind: "settled", state }),
    close(requestId) {
      const sending = entries.get(requestId)?.sending ?? false;
      const reason = "the instance failed while the call ran";
      const state: ClaimState = { kind: "unknown", reason };
      end(requestId, sending ? { kind: "settled", state } : NEVER_SENT);
    },
    async ask({ incarnation, requestId, waitMs }) {
      const entry = entries.get(requestId);
      if (!entry || incarnation !== options.incarnation) {
        return { kind: "forgotten" };
      }
      if (entry.word.kind === "running") await waitForEnd(entry, waitMs);
      return entry.word;
    },
  };
}

function sizeOf(word: ClaimWord): number {
  if (word.kind !== "settled") return 0;
  return word.state.kind === "answered" ? word.state.body.length : 0;
}
