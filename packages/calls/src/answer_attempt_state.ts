/** State shared by the modules that run one attempt of an answer. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import { mayContinue, type NoteKeeper } from "@rosemarypin/release";
import type { Grant, Router } from "@rosemarypin/routing";
import type {
  AnswerRequest,
  AttemptRequest,
  LostCause,
} from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import type { LinkSpeeds } from "./answer_link_speeds.ts";
import type { LivenessLimits, TokenPace } from "./answer_liveness.ts";
import type {
  Migration,
  MigrationLimits,
  Migrator,
} from "./answer_migration.ts";
import type { Progress } from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";

/** How one attempt ended. */
export type AttemptEnd =
  | { readonly kind: "done"; readonly reason: "stop" | "length" }
  | { readonly kind: "retry"; readonly reason: string }
  /** Other engines have been acquired; the next attempt runs on them. */
  | { readonly kind: "migrated"; readonly migration: Migration }
  /** Another connection, here or on another instance, runs the answer. */
  | { readonly kind: "taken_over" };

/** Dependencies and state of an answer that its attempts use. */
export interface AttemptOptions {
  readonly keeper: Pick<NoteKeeper, "current" | "fresh" | "onChange">;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly router: Pick<Router, "acquire">;
  readonly recoveries: RecoveryLimiter;
  readonly linkSpeeds: LinkSpeeds;
  readonly migrationLimits: MigrationLimits;
  readonly metrics?: Metrics;
  readonly liveness: LivenessLimits;
  readonly pace: TokenPace;
  readonly progress: Progress;
  readonly grant: Grant;
  readonly signal: AbortSignal;
  /** Called when the attempt delivers its first new token. */
  readonly onFirstToken: () => void;
}

/** An attempt that is starting or running. */
export interface RunningAttempt extends AttemptOptions {
  readonly request: AnswerRequest;
  readonly attempt: AttemptRequest;
  /** Cause of loss of each stage found lost, by engine. */
  readonly lostStages: Map<string, LostCause>;
  readonly incarnations: ReadonlyMap<string, number>;
  readonly migrator: Migrator;
  readonly startedAt: number;
}

/**
 * Checks the attempt's version against the release note in force. Checked at
 * the point of use, because a note may arrive while an answer waits for a
 * pipeline, and a process that was frozen may read tokens of a withdrawn
 * version from its sockets before it receives the note.
 */
export async function isVersionAllowed(
  attempt: AttemptRequest,
  keeper: Pick<NoteKeeper, "fresh">,
): Promise<boolean> {
  const record = await keeper.fresh();
  return record !== null && mayContinue(record, attempt);
}
