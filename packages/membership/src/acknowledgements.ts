/** Matches answers to the probes in flight. */

/** Route of the answer to a probe; `null` if none arrived in time. */
export type AnswerRoute = "direct" | "through_others" | null;

/** Creates the table of probes in flight. */
export function createAcknowledgements() {
  const waiting = new Map<
    number,
    { readonly id: string; readonly settle: (answer: AnswerRoute) => void }
  >();
  let sequence = 0;

  return {
    /** Returns the sequence number for a new probe. */
    nextSequence(): number {
      sequence += 1;
      return sequence;
    },
    /** Resolves when `id` answers `sequence`, or after `timeoutMs`. */
    wait(
      sequence: number,
      { id, timeoutMs }: { readonly id: string; readonly timeoutMs: number },
    ): Promise<AnswerRoute> {
      return new Promise((resolve) => {
        const timer = setTimeout(() => settle(null), timeoutMs);
        function settle(answer: AnswerRoute): void {
          clearTimeout(timer);
          waiting.delete(sequence);
          resolve(answer);
        }
        waiting.set(sequence, { id, settle });
      });
    },
    /**
     * Resolves the wait for an answer. An answer from another instance than
     * the probed one is ignored, as a new process may listen at the address.
     */
    settle(
      sequence: number,
      { id, answer }: { readonly id: string; readonly answer: AnswerRoute },
    ): void {
      const waiter = waiting.get(sequence);
      if (waiter?.id === id) waiter.settle(answer);
    },
    /** Resolves all waits with `null`, as on shutdown. */
    cancel(): void {
      for (const { settle } of [...waiting.values()]) settle(null);
    },
  };
}

export type Acknowledgements = ReturnType<typeof createAcknowledgements>;
