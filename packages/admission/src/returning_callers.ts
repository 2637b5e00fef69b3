/**
 * Tells returning callers from new ones by what their requests carry. Load: a
 * shortage in which refused callers return, to any instance, and some ignore
 * the retry delay. Callers of one route state the same deadline with their first
 * attempt, and what is left of it later.
 */
import type { Arrival } from "./admission_request.ts";
import { SHORT_OF_TIME_SHARE, SHORTEST_DELAY_MS } from "./retry_schedule.ts";

/** Routes that are remembered; the least recently used one is evicted. */
const MAX_ROUTES = 256;
/** A deadline is remembered for this time. */
const WINDOW_MS = 60_000;
/**
 * Deadlines that are remembered for each route. After a change of the usual
 * deadline to a shorter one, new callers count as returning until these are
 * replaced.
 */
const MAX_DEADLINES = 48;
/** Requests of a route below which its callers aren't told apart. */
const MIN_DEADLINES = 20;
/**
 * Share of a route's requests that state its usual deadline. First attempts are
 * that many as long as callers make fewer than ten attempts, and a single caller
 * with a longer deadline is not.
 */
const USUAL_DEADLINE_SHARE = 0.1;
const MIN_USUAL_DEADLINES = 3;
/** Deadlines differ by less between first attempts. */
const FIRST_ATTEMPT_MS = 30;
/** A longer deadline is taken for an error of the caller. */
const MAX_DEADLINE_MS = 3_600_000;
/** A retry delay takes up at most this share of the usual deadline. */
const DELAY_SHARE = SHORT_OF_TIME_SHARE / 3;
/** Delays in headers are rounded by up to this time. */
const DELAY_ROUNDING_MS = 10;

export interface CallerArrival {
  readonly arrival: Arrival;
  /** Milliseconds since the caller's first attempt. */
  readonly elapsedMs: number;
}

export interface ReturningCallers {
  /**
   * Classifies a request by the deadline that its caller states, `null` if it
   * states none, and remembers that deadline.
   */
  classify(route: string, deadlineMs: number | null): CallerArrival;
}

/** Classification of a request of which nothing else is known. */
export const FIRST_ARRIVAL: CallerArrival = { arrival: "first", elapsedMs: 0 };

/** Creates the table of the routes of one instance. */
export function createReturningCallers(): ReturningCallers {
  /** In the order of use. */
  const routes = new Map<string, DeadlineWindow>();

  function windowOf(route: string): DeadlineWindow {
    const window = routes.get(route) ?? createDeadlineWindow();
    routes.delete(route);
    routes.set(route, window);
    if (routes.size > MAX_ROUTES) {
      const [oldest] = routes.keys();
      if (oldest !== undefined) routes.delete(oldest);
    }
    return window;
  }

  return {
    classify(route, deadlineMs) {
      if (deadlineMs === null || !isUsable(deadlineMs)) return FIRST_ARRIVAL;
      const window = windowOf(route);
      const usualMs = window.usualMs();
      window.record(deadlineMs);
      if (usualMs === null) return FIRST_ARRIVAL;
      const elapsedMs = usualMs - deadlineMs;
      if (elapsedMs < FIRST_ATTEMPT_MS) return FIRST_ARRIVAL;
      const isHurried = elapsedMs < shortestDelayMs(usualMs);
      return { arrival: isHurried ? "hurried" : "returning", elapsedMs };
    },
  };
}

/** Shortest retry delay that callers with this deadline get. */
function shortestDelayMs(deadlineMs: number): number {
  return Math.min(
    SHORTEST_DELAY_MS - DELAY_ROUNDING_MS,
    DELAY_SHARE * deadlineMs - DELAY_ROUNDING_MS,
  );
}

function isUsable(deadlineMs: number): boolean {
  return deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS;
}

/** The latest deadlines of one route. */
interface DeadlineWindow {
  record(deadlineMs: number): void;
  /** `null` if too few deadlines are known. */
  usualMs(): number | null;
}

function createDeadlineWindow(): DeadlineWindow {
  const deadlines = new Float64Array(MAX_DEADLINES);
  const times = new Float64Array(MAX_DEADLINES).fill(Number.NEGATIVE_INFINITY);
  let next = 0;

  return {
    record(deadlineMs) {
      deadlines[next] = deadlineMs;
      times[next] = performance.now();
      next = (next + 1) % MAX_DEADLINES;
    },
    usualMs() {
      const since = performance.now() - WINDOW_MS;
      const known = deadlines
        .filter((_, index) => (times[index] ?? 0) >= since)
        .sort();
      if (known.length < MIN_DEADLINES) return null;
      return largestCommon(known);
    },
  };
}

/**
 * Returns the largest of the ascending deadlines that enough others are close
 * to; `null` if there is none.
 */
function largestCommon(known: Float64Array): number | null {
  const required = Math.max(
    MIN_USUAL_DEADLINES,
    Math.ceil(USUAL_DEADLINE_SHARE * known.length),
  );
  const others = required - 1;
  for (let index = known.length - 1; index >= others; index -= 1) {
    const deadline = known[index] ?? 0;
    const farthest = known[index - others] ?? 0;
    if (deadline - farthest < FIRST_ATTEMPT_MS) return deadline;
  }
  return null;
}
