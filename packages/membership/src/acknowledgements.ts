/** Waits for the answers to probes. */

/** How an answer came back; `null` when none came in time. */
export type Answer = "direct" | "through_others" | null;

/** Creates the table of probes in flight. */
export function createAcknowledgements() {
  const waiting = new Map<
    number,
    { readonly id: string; readonly settle: (answer: Answer) => void }
  >();
  let sequence = 0;

  return {
    next(): number {
      sequence += 1;
      return sequence;
    },
    /** Resolves when `id` answers `sequence`, or after `timeoutMs`. */
    wait(
      sequence: number,
      { id, timeoutMs }: { readonly id: string; readonly timeoutMs: number },
    ): Promise<Answer> {
      return new Promise((resolve) => {
        const timer = setTimeout(() => settle(null), timeoutMs);
        function settle(answer: Answer): void {
          clearTimeout(timer);
          waiting.delete(sequence);
          resolve(answer);
        }
        waiting.set(sequence, { id, settle });
      });
    },
    /**
     * Takes an answer in. One from another instance than the one that was
     * asked counts for nothing: a new process may listen at the address.
     */
    settle(
      sequence: number,
      { id, answer }: { readonly id: string; readonly answer: Answer },
    ): void {
      const found = waiting.get(sequence);
      if (found?.id === id) found.settle(answer);
    },
    /** Ends all waits, for instance at the end of the process. */
    cancel(): void {
      for (const { settle } of [...waiting.values()]) settle(null);
    },
  };
}

export type Acknowledgements = ReturnType<typeof createAcknowledgements>;
