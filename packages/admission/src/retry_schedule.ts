/**
 * Decides when refused callers may return. Load: more callers than capacity,
 * many of which are refused within a second. With delays from a fixed range
 * they return together, before capacity is free, and are refused again.
 */
import type { Arrival } from "./admission_request.ts";

/** Shortest retry delay, unless the caller has too little time left for it. */
export const SHORTEST_DELAY_MS = 300;
/** A delay takes up at most this share of the time that a caller has left. */
const MAX_SHARE_OF_TIME_LEFT = 1 / 3;
/** Random part that is added to a delay, as a share of it. */
const SPREAD = 0.25;
/**
 * Start of the range of delays of callers that have too little time left for
 * the delay that the schedule would give, as a share of their longest delay.
 */
export const SHORT_OF_TIME_SHARE = 0.75;
/**
 * Share of the rate that returning callers get while others wait: the admission
 * queue gives their lane an eighth of the weight of the lane for new callers.
 */
const RETURNING_SHARE = 1 / 9;
/** Weight of a class relative to the next less urgent one, as in the queue. */
const CLASS_WEIGHT_RATIO = 4;
/** Headers carry delays in hundredths of a second. */
const RESOLUTION_MS = 10;

/** Range in seconds from which a retry delay is drawn. */
export interface RetryDelayRange {
  readonly minSeconds: number;
  readonly maxSeconds: number;
}

/** A refused request. Figures that are negative or not finite count as 0. */
export interface RetryRefusal {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected work in tokens. */
  readonly cost: number;
  /** Expected wait of a further request of the class; 0 if not known. */
  readonly expectedWaitMs: number;
  /** Cost that is granted per second while requests wait; 0 if not known. */
  readonly costPerSecond: number;
  /** Time until the deadline of the caller. */
  readonly leftMs: number;
  /** Range of the delay where no rate is known. */
  readonly fallback: RetryDelayRange;
  /** The work of a hurried request is booked since its refusal before. */
  readonly arrival?: Arrival;
  /** Time for which servers want no requests; a lower bound of the delay. */
  readonly notBeforeMs?: number;
}

export interface RetrySchedule {
  /** Seconds until the caller should return, in hundredths. */
  delayFor(refusal: RetryRefusal): number;
}

/** Creates the schedule of the callers of one service. */
export function createRetrySchedule(
  options: {
    /** Returns a number from 0 up to and excluding 1. */
    readonly random?: () => number;
  } = {},
): RetrySchedule {
  const { random = Math.random } = options;
  /** When the work that is booked for a class is done, by priority. */
  const doneAt = new Map<number, number>();

  function draw(minMs: number, maxMs: number): number {
    return minMs + random() * Math.max(0, maxMs - minMs);
  }

  /** Cost per second that returning callers of the class get. */
  function rateOf(priority: number, costPerSecond: number): number {
    const classes = [...new Set([...doneAt.keys(), priority])].sort(
      (one, other) => one - other,
    );
    const weights = classes.map((_, rank) => CLASS_WEIGHT_RATIO ** -rank);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const weight = weights[classes.indexOf(priority)] ?? 0;
    return costPerSecond * RETURNING_SHARE * (weight / total);
  }

  function forgetDone(now: number): void {
    for (const [priority, at] of doneAt) if (at <= now) doneAt.delete(priority);
  }

  /** Delay of a caller that can't return as late as the schedule wants. */
  function drawWithin(earliestMs: number, limitMs: number): number {
    const minMs = Math.min(earliestMs, SHORT_OF_TIME_SHARE * limitMs);
    return draw(minMs, limitMs);
  }

  /** Books the cost, and returns a delay of at most `limitMs`. */
  function bookedDelay(refusal: RetryRefusal, limitMs: number): number {
    const now = performance.now();
    forgetDone(now);
    const { priority } = refusal;
    const rate = rateOf(priority, refusal.costPerSecond);
    const earliestMs = Math.max(
      SHORTEST_DELAY_MS,
      usable(refusal.expectedWaitMs),
    );
    const startsAt = Math.max(
      doneAt.get(priority) ?? Number.NEGATIVE_INFINITY,
      now + earliestMs,
    );
    const delayMs = startsAt - now;
    // What doesn't fit in the time is spread over all of it, and not booked:
    // else all of it would return at the end of that time.
    if (delayMs > limitMs) return drawWithin(earliestMs, limitMs);
    if (refusal.arrival !== "hurried")
      doneAt.set(priority, startsAt + (1_000 * usable(refusal.cost)) / rate);
    return draw(delayMs, Math.min(limitMs, delayMs * (1 + SPREAD)));
  }

  function fallbackDelay({ fallback }: RetryRefusal, limitMs: number): number {
    const minMs = 1_000 * fallback.minSeconds;
    const maxMs = 1_000 * fallback.maxSeconds;
    if (maxMs <= limitMs) return draw(minMs, maxMs);
    return drawWithin(minMs, limitMs);
  }

  return {
    delayFor(refusal) {
      const limitMs = MAX_SHARE_OF_TIME_LEFT * usable(refusal.leftMs);
      const notBeforeMs = usable(refusal.notBeforeMs ?? 0);
      if (notBeforeMs >= limitMs) {
        // An earlier return would be refused again.
        return roundedUp(draw(notBeforeMs, notBeforeMs + SPREAD * limitMs));
      }
      const ownLimitMs = limitMs - notBeforeMs;
      const ownMs =
        usable(refusal.costPerSecond) > 0
          ? bookedDelay(refusal, ownLimitMs)
          : fallbackDelay(refusal, ownLimitMs);
      return roundedDown(notBeforeMs + ownMs);
    },
  };
}

/** Replaces a figure that is negative or not finite by 0. */
function usable(figure: number): number {
  return Number.isFinite(figure) && figure > 0 ? figure : 0;
}

/** Converts to seconds, rounded down so that a bound of the delay holds. */
function roundedDown(delayMs: number): number {
  return (Math.floor(delayMs / RESOLUTION_MS) * RESOLUTION_MS) / 1_000;
}

function roundedUp(delayMs: number): number {
  return (Math.ceil(delayMs / RESOLUTION_MS) * RESOLUTION_MS) / 1_000;
}
