/**
 * Detects that many more new connections than usual come to this instance. The
 * platform's load balancer may give it most of those of a whole region for some
 * seconds. A caller whose connection is closed unread tries another instance,
 * while one that is accepted has to wait for all others.
 */
import { createLogger } from "@rosemarypin/telemetry";

const SLICE_MS = 100;
/** Time over which the present rate is measured. */
const PRESENT_MS = 500;
const PRESENT_SLICES = PRESENT_MS / SLICE_MS;
/** Time before that over which the usual rate is measured. */
const USUAL_MS = 30_000;
/** Shorter records say too little about the usual rate. */
const MIN_USUAL_MS = 5_000;
/** Times the usual rate that a surge begins with. */
const SURGE_FACTOR = 3;
/** Times the usual rate that are accepted in a surge, for a process that lags. */
const ACCEPTED_FACTOR = 2;
/** Lowest usual rate per second, so that a few callers make no surge. */
const MIN_USUAL_PER_SECOND = 5;
/** How late a timer fires in a process that lags. */
const MAX_LAG_MS = 80;
const LAG_CHECK_MS = 50;
/** How long a lag counts after it was last seen. */
const LAG_VALID_MS = 500;
/** A single late timer may be due to a pause of the process, which is over. */
const LAG_REPEATS_WITHIN_MS = 1_000;

/** A longer surge is the usual rate from then on. */
const MAX_SURGE_MS = 30_000;

const log = createLogger("callers");

export interface ConnectionSurge {
  /** Records a new connection; returns whether it may be accepted. */
  mayAccept(): boolean;
  stop(): void;
}

interface Slice {
  all: number;
  accepted: number;
}

/** The surge that may be in progress. */
interface Surge {
  /** Connections per second before it. */
  readonly usualPerSecond: number;
  readonly endsBy: number;
  readonly lagTimer: NodeJS.Timeout;
  laggedAt: number;
  /** When a timer was late before that. */
  laggedBeforeAt: number;
  closed: number;
}

/** Creates the detector without a record of connections. */
export function createConnectionSurge(): ConnectionSurge {
  let firstAcceptedAt: number | null = null;
  /** Counts of connections by number of their slice. */
  const slices = new Map<number, Slice>();
  let surge: Surge | null = null;

  function currentSlice(now: number): Slice {
    const number = Math.floor(now / SLICE_MS);
    const existing = slices.get(number);
    if (existing) return existing;
    const oldest = number - (PRESENT_MS + USUAL_MS) / SLICE_MS;
    for (const other of slices.keys()) if (other < oldest) slices.delete(other);
    const slice = { all: 0, accepted: 0 };
    slices.set(number, slice);
    return slice;
  }

  function presentPerSecond(now: number, kind: keyof Slice): number {
    const last = Math.floor(now / SLICE_MS);
    let total = 0;
    for (let number = last - PRESENT_SLICES + 1; number <= last; number += 1)
      total += slices.get(number)?.[kind] ?? 0;
    return (1_000 * total) / PRESENT_MS;
  }

  function usualPerSecond(now: number): number | null {
    const endsAt = now - PRESENT_MS;
    // Without callers, as after the start of all instances, nothing is usual.
    const durationMs = Math.min(USUAL_MS, endsAt - (firstAcceptedAt ?? now));
    if (durationMs < MIN_USUAL_MS) return null;
    let total = 0;
    for (const [number, { accepted }] of slices)
      if (number * SLICE_MS < endsAt) total += accepted;
    return Math.max(MIN_USUAL_PER_SECOND, (1_000 * total) / durationMs);
  }

  /** Begins to measure how late timers are, for as long as a surge lasts. */
  function watch(usual: number): Surge {
    const now = performance.now();
    let dueAt = now + LAG_CHECK_MS;
    const watched: Surge = {
      usualPerSecond: usual,
      endsBy: now + MAX_SURGE_MS,
      laggedAt: -Infinity,
      laggedBeforeAt: -Infinity,
      closed: 0,
      lagTimer: setInterval(() => {
        const now = performance.now();
        if (now - dueAt > MAX_LAG_MS) {
          watched.laggedBeforeAt = watched.laggedAt;
          watched.laggedAt = now;
        }
        dueAt = now + LAG_CHECK_MS;
        const isOver = presentPerSecond(now, "all") < SURGE_FACTOR * usual;
        if (isOver || now > watched.endsBy) end();
      }, LAG_CHECK_MS),
    };
    watched.lagTimer.unref();
    return watched;
  }

  function end(): void {
    if (!surge) return;
    clearInterval(surge.lagTimer);
    const { closed } = surge;
    if (closed > 0) log.info("connection_surge_over", { closed });
    surge = null;
  }

  function beginIfUnusual(now: number): void {
    const present = presentPerSecond(now, "all");
    if (surge || present < SURGE_FACTOR * MIN_USUAL_PER_SECOND) return;
    const usual = usualPerSecond(now);
    if (usual !== null && present >= SURGE_FACTOR * usual) surge = watch(usual);
  }

  function isBeyondLimit(now: number): boolean {
    if (!surge || now - surge.laggedAt > LAG_VALID_MS) return false;
    const { laggedAt, laggedBeforeAt } = surge;
    if (laggedAt - laggedBeforeAt > LAG_REPEATS_WITHIN_MS) return false;
    const limit = ACCEPTED_FACTOR * surge.usualPerSecond;
    return presentPerSecond(now, "accepted") >= limit;
  }

  return {
    mayAccept() {
      const now = performance.now();
      const slice = currentSlice(now);
      slice.all += 1;
      beginIfUnusual(now);
      if (!surge || !isBeyondLimit(now)) {
        slice.accepted += 1;
        firstAcceptedAt ??= now;
        return true;
      }
      surge.closed += 1;
      if (surge.closed > 1) return false;
      log.warn("connection_surge", {
        per_second: presentPerSecond(now, "all").toFixed(0),
        usual_per_second: surge.usualPerSecond.toFixed(0),
      });
      return false;
    },
    stop: end,
  };
}
