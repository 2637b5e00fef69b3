/** Migrates a running answer off engines that are leaving or slow. */
import type { EngineFleet } from "@rosemarypin/backends";
import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest, AttemptRequest } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { TokenPace } from "./answer_liveness.ts";
import {
  findMigrationSources,
  type MigrationSources,
} from "./answer_migration_sources.ts";
import type { Progress } from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";

/** Thresholds for migrating an answer. */
export interface MoveLimits {
  /** Minimum expected remaining time or gain for a migration. */
  readonly restMs: number;
  /** Excess over the typical send time from which a link counts as slow. */
  readonly slowMs: number;
  /** Interval of checks; the fleet refreshes its state no more often. */
  readonly lookMs: number;
}

export const defaultMoveLimits: MoveLimits = {
  restMs: 1_000,
  slowMs: 10,
  lookMs: 500,
};

const log = createLogger("answer");

/** How long a migration waits for engines before it is abandoned. */
const ACQUIRE_TIMEOUT_MS = 500;
/** How long acquired engines are reserved for an answer without new tokens. */
const MIGRATION_OFFER_MS = 1_000;

/** Engines acquired for the next attempt of a running answer. */
export interface Migration {
  readonly grant: Grant;
  /** Releases the slot of the recovery limiter. */
  readonly endTurn: () => void;
  /** The engines that the answer migrates off. */
  readonly from: readonly string[];
}

/** Prepares the migration of one attempt. */
export interface Migrator {
  /**
   * Called after tokens. Checks the engines at intervals, and returns the
   * migration once other engines are acquired. The receiver must release it.
   */
  ready(): Migration | null;
  /** Cancels a migration in preparation and releases its engines. */
  stop(): void;
}

export interface MigratorOptions {
  readonly request: AnswerRequest;
  readonly attempt: AttemptRequest;
  readonly progress: Progress;
  readonly fleet: Pick<EngineFleet, "engines">;
  readonly router: Pick<Router, "acquire">;
  readonly recoveries: RecoveryLimiter;
  readonly pace: TokenPace;
  readonly moves: MoveLimits;
}

/**
 * Creates the migrator of an attempt. Without migration, an engine that leaves
 * would have to wait for its longest answer or cut it at the end of its grace
 * period, and one with a degraded link would delay each token. Other engines
 * are acquired while the attempt keeps running, so that an answer for which
 * none are free isn't interrupted.
 */
export function createMigrator(options: MigratorOptions): Migrator {
  const { request, attempt, progress, fleet, router, pace, moves } = options;
  const stopped = new AbortController();
  const { signal } = stopped;
  let lastCheckAt = performance.now();
  let isPreparing = false;
  let move: Migration | null = null;

  function ready(): Migration | null {
    if (move) {
      const taken = move;
      move = null;
      return taken;
    }
    const now = performance.now();
    if (isPreparing || now - lastCheckAt < moves.lookMs) return null;
    lastCheckAt = now;
    const migrationSources = findMigrationSources(fleet.engines(), {
      ...attempt,
      ...estimateRemaining(),
    });
    if (migrationSources.from.length > 0) void prepare(migrationSources);
    return null;
  }

  function estimateRemaining() {
    const restTokens = request.maxTokens - progress.delivered.length;
    const restMs = restTokens * (pace.gapMs() ?? 0);
    const { restMs: leastMs, slowMs } = moves;
    return { restTokens, restMs, leastMs, slowMs };
  }

  async function prepare(migrationSources: MigrationSources): Promise<void> {
    const { from } = migrationSources;
    isPreparing = true;
    try {
      const grant = await acquire(migrationSources);
      if (!grant) return;
      // Migrating all answers of an engine at once would delay the answers of
      // the engines that receive them.
      const endTurn = await options.recoveries.takeTurn(
        request.priority,
        signal,
      );
      if (endTurn && !signal.aborted) offerMigration({ grant, endTurn, from });
      else releaseMigration({ grant, endTurn });
    } catch (error) {
      // The attempt keeps running on its engines without the migration.
      const reason = error instanceof Error ? error.message : String(error);
      log.warn("move_broke", { request: request.requestId, reason });
    } finally {
      isPreparing = false;
    }
  }

  /**
   * Offers the migration for a limited time. When the caller stops reading, the
   * attempt stalls and doesn't take it. Without the limit, eight such callers
   * would occupy all slots of the recovery limiter.
   */
  function offerMigration(offered: Migration): void {
    move = offered;
    setTimeout(() => {
      if (move !== offered) return;
      move = null;
      releaseMigration(offered);
    }, MIGRATION_OFFER_MS).unref();
  }

  async function acquire(
    migrationSources: MigrationSources,
  ): Promise<Grant | null> {
    const { version, avoid } = progress;
    if (!version) return null;
    const acquireDeadlineAt = Math.min(
      Date.now() + ACQUIRE_TIMEOUT_MS,
      request.deadlineAt,
    );
    const currentEngines = attempt.stages.map(({ engine }) => engine);
    const result = await router.acquire({
      request: { ...request, deadlineAt: acquireDeadlineAt },
      version,
      avoid: new Set([...avoid, ...migrationSources.avoid]),
      prefer: new Set(
        currentEngines.filter((engine) => !migrationSources.avoid.has(engine)),
      ),
      isRecovery: true,
      signal,
    });
    return result.kind === "granted" ? result.grant : null;
  }

  return {
    ready,
    stop() {
      stopped.abort();
      if (move) releaseMigration(move);
      move = null;
    },
  };
}

/** Releases the engines and the recovery slot of a migration. */
export function releaseMigration(move: {
  readonly grant: Grant;
  readonly endTurn: (() => void) | null;
}): void {
  move.endTurn?.();
  move.grant.release();
}
