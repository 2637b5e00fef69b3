/** Seeks other engines for an attempt that is silent and may go on. */
import type { Router } from "@rosemarypin/routing";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import { type Migration, releaseMigration } from "./answer_migration.ts";
import type { Progress } from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";

/** How long engines are sought for a silent attempt. */
const SEARCH_TIMEOUT_MS = 8_000;
const RETRY_INTERVAL_MS = 100;

export interface SuccessorSearch {
  /** The engines; `null` if none could be had in time. */
  readonly found: Promise<Migration | null>;
  /** Ends the search, and releases what it has found. */
  stop(): void;
}

/**
 * Seeks engines for the next attempt of an answer. Its silent engines may be
 * sound, and the only ones that it can have, so its attempt isn't ended before.
 */
export function seekSuccessor(
  request: AnswerRequest,
  options: {
    readonly silentEngines: readonly string[];
    readonly progress: Progress;
    readonly router: Pick<Router, "acquire">;
    readonly recoveries: RecoveryLimiter;
    readonly signal: AbortSignal;
  },
): SuccessorSearch {
  const { silentEngines, progress, router, recoveries } = options;
  const stopped = new AbortController();
  const signal = AbortSignal.any([options.signal, stopped.signal]);
  const deadlineAt = Math.min(
    Date.now() + SEARCH_TIMEOUT_MS,
    request.deadlineAt,
  );

  async function search(): Promise<Migration | null> {
    const { version } = progress;
    while (version && !signal.aborted && Date.now() < deadlineAt) {
      const result = await router.acquire({
        request: { ...request, deadlineAt },
        version,
        avoid: new Set([...progress.avoidedEngines, ...silentEngines]),
        prefer: new Set(progress.caches.keys()),
        isRecovery: true,
        signal,
      });
      if (result.kind === "granted") return occupySlot(result.grant);
      await pause(RETRY_INTERVAL_MS, signal);
    }
    return null;
  }

  async function occupySlot(
    grant: Migration["grant"],
  ): Promise<Migration | null> {
    const releaseSlot = await recoveries.acquireSlot(request.priority, signal);
    if (!releaseSlot) {
      grant.release();
      return null;
    }
    const sources = silentEngines;
    return { grant, releaseSlot, sources, isRecovery: true };
  }

  const found = search();
  return {
    found,
    stop() {
      stopped.abort();
      void found.then((migration) => {
        if (migration) releaseMigration(migration);
      });
    },
  };
}
