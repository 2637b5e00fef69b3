/** Tracks engines that report to be slower than their kind. */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";

/** Smaller slowdowns don't change the choice of a pipeline. */
const MIN_SLOWDOWN = 1.2;
/** Reports of faulty engines must not distort costs without bound. */
const MAX_SLOWDOWN = 100;
/** Interval at which the report of a slow engine is read again. */
const RECHECK_INTERVAL_MS = 1_500;

const log = createLogger("failures");

export interface SlowEngines {
  /** Factor by which an engine is slower than its kind; 1 if it isn't slow. */
  slowdownOf(id: string): number;
  /** Records the factor that an engine reported. */
  record(id: string, slowdown: number): void;
  forget(id: string): void;
}

/**
 * Creates a record without slow engines. `probe` reads the report of an engine
 * again, and resolves to whether the engine answered.
 */
export function createSlowEngines(options: {
  readonly probe: (id: string) => Promise<boolean | null>;
  readonly signal: AbortSignal;
}): SlowEngines {
  const { probe, signal } = options;
  const slowdowns = new Map<string, number>();

  /** Reads reports until the engine is as fast as its kind or is lost. */
  async function followUntilRecovered(id: string): Promise<void> {
    while (!signal.aborted && slowdowns.has(id)) {
      await pause(RECHECK_INTERVAL_MS, signal);
      if (slowdowns.has(id) && !(await probe(id))) slowdowns.delete(id);
    }
    log.info("engine_no_longer_slow", { id });
  }

  return {
    slowdownOf: (id) => slowdowns.get(id) ?? 1,
    record(id, slowdown) {
      const isSlow = slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN;
      if (!isSlow) {
        slowdowns.delete(id);
        return;
      }
      const isNew = !slowdowns.has(id);
      slowdowns.set(id, slowdown);
      if (!isNew) return;
      log.warn("engine_slow", { id, slowdown: slowdown.toFixed(1) });
      void followUntilRecovered(id);
    },
    forget: (id) => void slowdowns.delete(id),
  };
}
