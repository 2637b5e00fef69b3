/** Moves a running answer off engines that are leaving or slow. */
import type { EngineFleet } from "@rosemarypin/backends";
import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest, AttemptRequest } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { TokenPace } from "./answer_liveness.ts";
import { findWorse, type WorseEngines } from "./answer_migration_sources.ts";
import type { Progress } from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";

/** When an answer is moved. */
export interface MoveLimits {
  /** An answer that is expected to end, or to gain, less than this stays. */
  readonly restMs: number;
  /** What a message must take longer than usual for its link to be slow. */
  readonly slowMs: number;
  /** How often its engines are looked at; the fleet reads no more often. */
  readonly lookMs: number;
}

export const defaultMoveLimits: MoveLimits = {
  restMs: 1_000,
  slowMs: 10,
  lookMs: 500,
};

const log = createLogger("answer");

/** How long a move waits for engines before the answer is looked at again. */
const ACQUIRE_MS = 500;
/** How long they are held for an answer that gives no token. */
const HELD_MS = 1_000;

/** Other engines, held for the next attempt. */
export interface Move {
  readonly grant: Grant;
  /** Ends the turn among recoveries. */
  readonly endTurn: () => void;
  /** The engines that the answer leaves. */
  readonly from: readonly string[];
}

/** Looks after one attempt. */
export interface Mover {
  /** Called now and then; returns the move once other engines are held. */
  ready(): Move | null;
  /** Gives back what was got and not taken. */
  stop(): void;
}

export interface MoverOptions {
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
 * Creates the mover of an attempt. An engine that leaves takes no new answer
 * but would have to stay until its last long one has ended, or cut it at the
 * end of its grace; one with a degraded link holds up each token. So others
 * are got first, while the answer goes on where it is: given up before, an
 * answer that finds none would be cut too.
 */
export function createMover(options: MoverOptions): Mover {
  const { request, attempt, progress, fleet, router, pace, moves } = options;
  const stopped = new AbortController();
  const { signal } = stopped;
  let lookedAt = performance.now();
  let preparing = false;
  let move: Move | null = null;

  function ready(): Move | null {
    if (move) {
      const taken = move;
      move = null;
      return taken;
    }
    const now = performance.now();
    if (preparing || now - lookedAt < moves.lookMs) return null;
    lookedAt = now;
    const worse = findWorse(fleet.engines(), { ...attempt, ...rest() });
    if (worse.from.length > 0) void prepare(worse);
    return null;
  }

  function rest() {
    const restTokens = request.maxTokens - progress.delivered.length;
    const restMs = restTokens * (pace.gapMs() ?? 0);
    const { restMs: leastMs, slowMs } = moves;
    return { restTokens, restMs, leastMs, slowMs };
  }

  async function prepare(worse: WorseEngines): Promise<void> {
    const { from } = worse;
    preparing = true;
    try {
      const grant = await acquire(worse);
      if (!grant) return;
      // Moved all at once, the answers of one engine would hold up those of
      // the engines that take them.
      const endTurn = await options.recoveries.takeTurn(
        request.priority,
        signal,
      );
      if (endTurn && !signal.aborted) hold({ grant, endTurn, from });
      else giveBack({ grant, endTurn });
    } catch (error) {
      // The answer goes on where it is; only the move is lost.
      const reason = error instanceof Error ? error.message : String(error);
      log.warn("move_broke", { request: request.requestId, reason });
    } finally {
      preparing = false;
    }
  }

  /**
   * A caller that does not read stops its answer, and the move is not taken.
   * Held all the same, eight such callers would leave no turn for answers that
   * have lost a stage.
   */
  function hold(held: Move): void {
    move = held;
    setTimeout(() => {
      if (move !== held) return;
      move = null;
      giveBack(held);
    }, HELD_MS).unref();
  }

  async function acquire(worse: WorseEngines): Promise<Grant | null> {
    const { version, avoid } = progress;
    if (!version) return null;
    const latest = Math.min(Date.now() + ACQUIRE_MS, request.deadlineAt);
    const stay = attempt.stages.map(({ engine }) => engine);
    const result = await router.acquire({
      request: { ...request, deadlineAt: latest },
      version,
      avoid: new Set([...avoid, ...worse.avoid]),
      prefer: new Set(stay.filter((engine) => !worse.avoid.has(engine))),
      isRecovery: true,
      signal,
    });
    return result.kind === "granted" ? result.grant : null;
  }

  return {
    ready,
    stop() {
      stopped.abort();
      if (move) giveBack(move);
      move = null;
    },
  };
}

/** Gives a move's engines and turn back. */
export function giveBack(move: {
  readonly grant: Grant;
  readonly endTurn: (() => void) | null;
}): void {
  move.endTurn?.();
  move.grant.release();
}
