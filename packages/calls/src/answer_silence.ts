/** What an attempt does while some of its engines say nothing. */
import type { AttemptEnd, RunningAttempt } from "./answer_attempt_state.ts";
import type { NextEvent } from "./answer_liveness.ts";
import type { Migration } from "./answer_migration.ts";
import { type SuccessorSearch, seekSuccessor } from "./answer_successor.ts";

/** The search for other engines has ended. */
interface Successor {
  readonly kind: "successor";
  /** `null` if none could be had. */
  readonly migration: Migration | null;
}

export interface Silence {
  /** Begins to seek other engines, once. */
  begin(engines: readonly string[]): void;
  /** Waits for the next event, or for the end of the search. */
  orSuccessor(next: Promise<NextEvent>): Promise<NextEvent | Successor>;
  /** Ends the search, since the attempt goes on. */
  end(): void;
  /** How the attempt ends after the search. */
  switchTo(migration: Migration | null): AttemptEnd;
  stop(): void;
}

/**
 * Creates the state of an attempt that isn't silent. During a search its engines
 * count as free: the next attempt may need the sound ones among them.
 */
export function createSilence(options: RunningAttempt): Silence {
  const { request, attempt, fleet, grant, lostStages } = options;
  let search: SuccessorSearch | null = null;
  let silentEngines: readonly string[] = [];
  let releaseEngines: (() => void) | null = null;

  return {
    begin(engines) {
      if (search) return;
      silentEngines = engines;
      grant.release();
      releaseEngines?.();
      releaseEngines = null;
      search = seekSuccessor(request, { ...options, silentEngines });
    },
    orSuccessor(next) {
      if (!search) return next;
      const found = search.found.then(
        (migration): Successor => ({ kind: "successor", migration }),
      );
      return Promise.race([next, found]);
    },
    end() {
      if (!search) return;
      search.stop();
      search = null;
      releaseEngines = fleet.occupy(attempt.stages.map(({ engine }) => engine));
    },
    switchTo(migration) {
      search = null;
      for (const engine of silentEngines) lostStages.set(engine, "unreachable");
      if (migration) return { kind: "migrated", migration };
      const reason = `no response from ${silentEngines.join(",")}`;
      return { kind: "retry", reason };
    },
    stop() {
      search?.stop();
      releaseEngines?.();
    },
  };
}
