/** Measures how long the engine's batches take for prompt positions. */

/** What an older batch counts beside the one after it. */
const DECAY = 0.9;
const MICROS = 1_000;

/** A weighted mean over the latest batches, of constant size. */
export interface PromptMeter {
  /** Takes a batch; `work` is its prompt positions times layers. */
  observe(durationMs: number, work: number): void;
  /** Microseconds of one layer for one position, or `undefined`. */
  micros(): number | undefined;
}

/** Creates a meter that has seen nothing. */
export function createPromptMeter(): PromptMeter {
  let totalMs = 0;
  let totalWork = 0;
  return {
    observe(durationMs, work) {
      // A batch without prompts says nothing of them.
      if (work <= 0) return;
      totalMs = totalMs * DECAY + durationMs;
      totalWork = totalWork * DECAY + work;
    },
    micros: () => (totalWork > 0 ? (totalMs * MICROS) / totalWork : undefined),
  };
}
