/** How long the stand-in's work takes. */
import type { EngineSpeed } from "../stand_in_settings.ts";

/** Time of one batch in milliseconds. */
export function batchDurationMs(
  speed: EngineSpeed,
  work: {
    readonly layers: number;
    readonly decodeTokens: number;
    readonly promptTokens: number;
  },
): number {
  const tokens = work.decodeTokens + work.promptTokens * speed.promptFactor;
  return speed.batchMs + (tokens * work.layers * speed.layerMicros) / 1_000;
}

/**
 * Times batches one after the other by their planned ends. A timer fires up
 * to a few milliseconds late; counted from the late end, each batch would be
 * slower than stated and the engine's bound could not be reached.
 */
export function createBatchClock() {
  let plannedEnd = 0;
  return {
    /** Resolves, with its planned end, when a batch that waited since
     * `waitingSince` is done. */
    async run(durationMs: number, waitingSince: number): Promise<number> {
      plannedEnd = Math.max(plannedEnd, waitingSince) + durationMs;
      const waitMs = plannedEnd - performance.now();
      const end = plannedEnd;
      if (waitMs > 0) await new Promise((done) => setTimeout(done, waitMs));
      return end;
    },
  };
}
