/** Looks into the silence of a running attempt. */
import type { Stage } from "@rosemarypin/schemas";
import type { AttemptEnd, RunningAttempt } from "./answer_attempt_state.ts";
import { findLostStages } from "./answer_liveness.ts";

/** Ends the attempt if a stage is lost, or if a message must be. */
export async function lookIntoSilence(
  silentMs: number,
  options: RunningAttempt & { readonly reader: { hasEvent(): boolean } },
): Promise<AttemptEnd | null> {
  const { attempt, liveness, lost, reader, signal } = options;
  const { probeMs } = liveness;
  const gone = await findLostStages(attempt.stages, { ...options, probeMs });
  if (signal.aborted) return { kind: "retry", reason: "cancelled" };
  if (reader.hasEvent()) return null;
  if (gone.length > 0) {
    for (const { engine } of gone) lost.set(engine, "unreachable");
    return { kind: "retry", reason: `no sign of ${names(gone)}` };
  }
  // All stages live and none works on the answer: a message between them was
  // lost. The next attempt counts on the same KV caches, so it costs little.
  if (silentMs < liveness.lostMessageMs) return null;
  return { kind: "retry", reason: "a message was lost" };
}

function names(stages: readonly Stage[]): string {
  return stages.map(({ engine }) => engine).join(",");
}
