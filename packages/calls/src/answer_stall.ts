/** Checks a running attempt that sends no events. */
import type { Stage } from "@rosemarypin/schemas";
import type { AttemptEnd, RunningAttempt } from "./answer_attempt_state.ts";
import { findLostStages } from "./answer_liveness.ts";

/** Stages that don't respond; they may be sound and go on. */
export interface SilentStages {
  readonly kind: "silent";
  readonly engines: readonly string[];
}

/**
 * Probes the stages. Returns the end of the attempt if a stage has restarted or a
 * message is assumed lost, those that don't respond, else `null`.
 */
export async function checkStall(
  silentMs: number,
  options: RunningAttempt & { readonly reader: { hasPendingEvent(): boolean } },
): Promise<AttemptEnd | SilentStages | null> {
  const { attempt, liveness, lostStages, reader, signal } = options;
  const { probeMs } = liveness;
  const { restarted, silent } = await findLostStages(attempt.stages, {
    ...options,
    probeMs,
  });
  if (signal.aborted) return { kind: "retry", reason: "cancelled" };
  if (reader.hasPendingEvent()) return null;
  if (restarted.length > 0) {
    for (const { engine } of [...restarted, ...silent])
      lostStages.set(engine, "unreachable");
    return { kind: "retry", reason: `${joinEngines(restarted)} restarted` };
  }
  if (silent.length > 0)
    return { kind: "silent", engines: silent.map(({ engine }) => engine) };
  // All stages respond but no event arrives: a message between them was lost.
  // The next attempt reuses the same KV caches, so a retry is cheap.
  if (silentMs < liveness.lostMessageTimeoutMs) return null;
  return { kind: "retry", reason: "a message was lost" };
}

function joinEngines(stages: readonly Stage[]): string {
  return stages.map(({ engine }) => engine).join(",");
}
