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
