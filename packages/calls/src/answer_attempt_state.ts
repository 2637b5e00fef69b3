/** What the parts of one attempt at an answer share. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import { mayContinue, type NoteKeeper } from "@rosemarypin/release";
import type { Grant } from "@rosemarypin/routing";
import type { AttemptRequest, LostCause } from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import type { LivenessLimits, TokenPace } from "./answer_liveness.ts";
import type { Progress } from "./answer_progress.ts";

/** How one attempt ended. */
export type AttemptEnd =
  | { readonly kind: "done"; readonly reason: "stop" | "length" }
  | { readonly kind: "retry"; readonly reason: string }
  /** Another instance goes on with the answer. */
  | { readonly kind: "taken_over" };

export interface AttemptOptions {
  readonly keeper: Pick<NoteKeeper, "current" | "fresh" | "onChange">;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly metrics?: Metrics;
  readonly liveness: LivenessLimits;
  readonly pace: TokenPace;
  readonly progress: Progress;
  readonly grant: Grant;
  readonly signal: AbortSignal;
  /** Called with the first new token. */
  readonly onProgress: () => void;
}

/** An attempt that is about to start, or that runs. */
export interface RunningAttempt extends AttemptOptions {
  readonly attempt: AttemptRequest;
  /** Stages that are found lost, by engine. */
  readonly lost: Map<string, LostCause>;
  readonly incarnations: ReadonlyMap<string, number>;
}

/**
 * A note may come while an answer waits for a pipeline, and a process that
 * was frozen finds tokens of a withdrawn version in its sockets before it
 * hears of the note: both are looked for at the point of use.
 */
export async function mayGoOn(
  attempt: AttemptRequest,
  keeper: Pick<NoteKeeper, "fresh">,
): Promise<boolean> {
  const record = await keeper.fresh();
  return record !== null && mayContinue(record, attempt);
}
