/**
 * Outlier ejection: engines that answer requests with errors get none for a
 * while. They report as usual and fail at once, so that by their load they look
 * like the best choice.
 */
import { createLogger } from "@rosemarypin/telemetry";

/** Ejection after the first failure; doubles with each one that follows. */
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
/** Time without a failure after which the next one counts as the first. */
const RESET_AFTER_MS = 15_000;
/**
 * Broken connections in a row that count as a failure. Single ones happen to
 * sound engines, too.
 */
const BREAKS_PER_FAILURE = 3;

/**
 * Largest share of the other servers that may be ejected at the same time.
 * Requests that fail on any engine must not take all engines out of service.
 */
const MAX_EJECTED_SHARE = 0.3;

const log = createLogger("failures");

/** How a request to an engine ended. */
export type AnswerQuality =
  | "good"
  /** An error response of the engine. */
  | "error"
  /** The connection broke before the answer began. */
  | "broken";

export interface OutlierEjection {
  record(id: string, quality: AnswerQuality): void;
  /** Whether the engine gets no requests at present. */
  isEjected(id: string): boolean;
  forget(id: string): void;
}

interface FailureHistory {
  failures: number;
  breaks: number;
  ejectedUntil: number;
}

/** Creates the ejection without any history. */
export function createOutlierEjection(options: {
  readonly countServers: () => number;
  /** Called when an engine is ejected. */
  readonly onEjected?: (id: string) => void;
}): OutlierEjection {
  const histories = new Map<string, FailureHistory>();

  function historyOf(id: string): FailureHistory {
    const existing = histories.get(id);
    if (existing) return existing;
    const history = { failures: 0, breaks: 0, ejectedUntil: -Infinity };
    histories.set(id, history);
    return history;
  }

  function isEjected(id: string): boolean {
    const ejectedUntil = histories.get(id)?.ejectedUntil ?? -Infinity;
    return performance.now() < ejectedUntil;
  }

  function mayEjectAnother(): boolean {
    const ejectedCount = [...histories.keys()].filter(isEjected).length;
    const others = options.countServers() - 1;
    return ejectedCount + 1 <= others * MAX_EJECTED_SHARE;
  }

  function eject(id: string, history: FailureHistory): void {
    const now = performance.now();
    // Requests that were sent before the ejection may still fail.
    if (now < history.ejectedUntil || !mayEjectAnother()) return;
    if (now - history.ejectedUntil > RESET_AFTER_MS) history.failures = 0;
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** history.failures,
    );
    history.failures += 1;
    history.breaks = 0;
    history.ejectedUntil = now + ejectionMs;
    options.onEjected?.(id);
    log.warn("engine_ejected", { id, for_ms: ejectionMs });
  }

  return {
    record(id, quality) {
      const history = historyOf(id);
      if (quality === "good") history.breaks = 0;
      if (quality === "broken") history.breaks += 1;
      if (quality === "error" || history.breaks >= BREAKS_PER_FAILURE)
        eject(id, history);
    },
    isEjected,
    forget: (id) => void histories.delete(id),
  };
}
