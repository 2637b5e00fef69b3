/** What the parts of one attempt at an answer share. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import { mayContinue, type NoteKeeper } from "@rosemarypin/release";
import type { Grant, Router } from "@rosemarypin/routing";
import type { AttemptRequest, LostCause } from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import type { LinkSpeeds } from "./answer_link_speeds.ts";
import type { LivenessLimits, TokenPace } from "./answer_liveness.ts";
import type { Move, MoveLimits, Mover } from "./answer_migration.ts";
import type { Progress } from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";

/** How one attempt ended. */
export type AttemptEnd =
  | { readonly kind: "done"; readonly reason: "stop" | "length" }
  | { readonly kind: "retry"; readonly reason: string }
  /** Other engines are held, and go on with the answer. */
  | { readonly kind: "moved"; readonly move: Move }
  /** Another instance goes on with the answer. */
  | { readonly kind: "taken_over" };

export interface AttemptOptions {
  readonly keeper: Pick<NoteKeeper, "current" | "fresh" | "onChange">;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly router: Pick<Router, "acquire">;
  readonly recoveries: RecoveryLimiter;
  readonly links: LinkSpeeds;
  readonly moves: MoveLimits;
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
  readonly mover: Mover;
  readonly startedAt: number;
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
