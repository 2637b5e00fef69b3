/** Checks a running attempt that sends no events. */
import type { Stage } from "@rosemarypin/schemas";
import type { AttemptEnd, RunningAttempt } from "./answer_attempt_state.ts";
import { findLostStages } from "./answer_liveness.ts";

/**
 * Probes the stages. Returns the end of the attempt if a stage is lost or a
 * message is assumed lost, else `null`.
 */
export async function checkStall(
  silentMs: number,
  options: RunningAttempt & { readonly reader: { hasPendingEvent(): boolean } },
): Promise<AttemptEnd | null> {
  const { attempt, liveness, lostStages, reader, signal } = options;
  const { probeMs } = liveness;
  const newlyLost = await findLostStages(attempt.stages, {
    ...options,
    probeMs,
  });
  if (signal.aborted) return { kind: "retry", reason: "cancelled" };
  if (reader.hasPendingEvent()) return null;
  if (newlyLost.length > 0) {
    for (const { engine } of newlyLost) lostStages.set(engine, "unreachable");
    return {
      kind: "retry",
      reason: `no response from ${joinEngines(newlyLost)}`,
    };
  }
  // All stages respond but no event arrives: a message between them was lost.
  // The next attempt reuses the same KV caches, so a retry is cheap.
  if (silentMs < liveness.lostMessageTimeoutMs) return null;
  return { kind: "retry", reason: "a message was lost" };
}

function joinEngines(stages: readonly Stage[]): string {
  return stages.map(({ engine }) => engine).join(",");
}
