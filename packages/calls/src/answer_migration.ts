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
export interface MigrationLimits {
  /**
   * Minimum benefit of a migration: the expected remaining time of the answer
   * for a leaving engine, the expected saved time for a slow one.
   */
  readonly minBenefitMs: number;
  /** Excess over the typical send time from which a link counts as slow. */
  readonly slowLinkMs: number;
  /** Interval of checks; the fleet refreshes its state no more often. */
  readonly checkIntervalMs: number;
}

export const defaultMigrationLimits: MigrationLimits = {
  minBenefitMs: 1_000,
  slowLinkMs: 10,
  checkIntervalMs: 500,
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
  readonly releaseSlot: () => void;
  /** The engines that the answer migrates off. */
  readonly sources: readonly string[];
  /** Whether these engines had fallen silent. */
  readonly isRecovery?: boolean;
}

/** Prepares the migration of one attempt. */
export interface Migrator {
  /**
   * Called after tokens. Checks the engines at intervals, and returns the
   * migration once other engines are acquired. The receiver must release it.
   */
  takeMigration(): Migration | null;
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
  readonly migrationLimits: MigrationLimits;
}

/**
 * Creates the migrator of an attempt. Without migration, an engine that leaves
 * would have to wait for its longest answer or cut it at the end of its grace
 * period, and one with a degraded link would delay each token. Other engines
 * are acquired while the attempt keeps running, so that an answer for which
 * none are free isn't interrupted.
 */
export function createMigrator(options: MigratorOptions): Migrator {
  const { request, attempt, progress, fleet, router, pace, migrationLimits } =
    options;
  const stopped = new AbortController();
  const { signal } = stopped;
  let lastCheckAt = performance.now();
  let isPreparing = false;
  let readyMigration: Migration | null = null;

  function takeMigration(): Migration | null {
    if (readyMigration) {
      const migration = readyMigration;
      readyMigration = null;
      return migration;
    }
    const now = performance.now();
    if (isPreparing || now - lastCheckAt < migrationLimits.checkIntervalMs)
      return null;
    lastCheckAt = now;
    const plan = findMigrationSources(fleet.engines(), {
      ...attempt,
      ...estimateRemaining(),
    });
    if (plan.sources.length > 0) void prepare(plan);
    return null;
  }

  function estimateRemaining() {
    const remainingTokens = request.maxTokens - progress.deliveredTokens.length;
    const remainingMs = remainingTokens * (pace.averageGapMs() ?? 0);
    const { minBenefitMs, slowLinkMs } = migrationLimits;
    return { remainingTokens, remainingMs, minBenefitMs, slowLinkMs };
  }

  async function prepare(plan: MigrationSources): Promise<void> {
    const { sources } = plan;
    isPreparing = true;
    try {
      const grant = await acquire(plan);
      if (!grant) return;
      // Migrating all answers of an engine at once would delay the answers of
      // the engines that receive them.
      const releaseSlot = await options.recoveries.acquireSlot(
        request.priority,
        signal,
      );
      if (releaseSlot && !signal.aborted)
        offerMigration({ grant, releaseSlot, sources });
      else releaseMigration({ grant, releaseSlot });
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
    readyMigration = offered;
    setTimeout(() => {
      if (readyMigration !== offered) return;
      readyMigration = null;
      releaseMigration(offered);
    }, MIGRATION_OFFER_MS).unref();
  }

  async function acquire(plan: MigrationSources): Promise<Grant | null> {
    const { version, avoidedEngines } = progress;
    if (!version) return null;
    const acquireDeadlineAt = Math.min(
      Date.now() + ACQUIRE_TIMEOUT_MS,
      request.deadlineAt,
    );
    const currentEngines = attempt.stages.map(({ engine }) => engine);
    const result = await router.acquire({
      request: { ...request, deadlineAt: acquireDeadlineAt },
      version,
      avoid: new Set([...avoidedEngines, ...plan.avoid]),
      prefer: new Set(
        currentEngines.filter((engine) => !plan.avoid.has(engine)),
      ),
      isRecovery: true,
      signal,
    });
    return result.kind === "granted" ? result.grant : null;
  }

  return {
    takeMigration,
    stop() {
      stopped.abort();
      if (readyMigration) releaseMigration(readyMigration);
      readyMigration = null;
    },
  };
}

/** Releases the engines and the recovery slot of a migration. */
export function releaseMigration(migration: {
  readonly grant: Grant;
  readonly releaseSlot: (() => void) | null;
}): void {
  migration.releaseSlot?.();
  migration.grant.release();
}
