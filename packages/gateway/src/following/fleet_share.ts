/**
 * The part of a fleet-wide allowance that this instance may use, such that no
 * start, end, cut or recount of instances gives a part out twice within the
 * window of the allowance.
 */
import type { RetryShare } from "@rosemarypin/limits";

/** What an instance knows of the list of all instances in the store. */
export interface FleetView {
  /** Instances in the list, this one included; `null` before it was read. */
  readonly count: number | null;
  /** When the list was as it is known here. */
  readonly knownAt: number;
  /** Since when this instance has been in the list without a gap. */
  readonly listedSince: number;
  /** Whether it started together with all others, so that none counts fewer. */
  readonly startedWithAll: boolean;
  /**
   * How long the process before this one ran, as its last renewal says; `null`
   * if there was none.
   */
  readonly predecessorRanForMs: number | null;
  /** When this instance last renewed its entry. */
  readonly renewedAt: number;
}

/**
 * Age of the list from which an instance has only the unconfirmed part, so that
 * one that joins has its whole part once no older list is in use.
 */
export const MAX_VIEW_AGE_MS = 20_000;
/** Age of an entry from which all that started together list it. */
const FLEET_LISTING_MS = 1_000;
/** Age of a renewal from which others may soon drop the entry. */
export const MAX_RENEWAL_AGE_MS = 50_000;
/**
 * Share of its part that an instance has while others may divide the allowance
 * without it, or its earlier process may have used the part. It fits in the
 * margin that users of an allowance leave unused.
 */
const UNCONFIRMED_PART = 1 / 4;

interface CountedInstances {
  readonly from: number;
  readonly count: number;
}

/** Creates the share of a process that starts now. */
export function createFleetShare({
  windowMs,
  view,
}: {
  /** Window of the allowance, in milliseconds. */
  readonly windowMs: number;
  readonly view: () => FleetView;
}): () => RetryShare {
  const startedAt = performance.now();
  /** Each holds until the next one. */
  let counts: CountedInstances[] = [];

  /** The most instances that were listed at any time in the window. */
  function greatestCount(count: number): number {
    const now = performance.now();
    if (counts.at(-1)?.count !== count) counts.push({ from: now, count });
    const firstAfter = counts.findIndex(({ from }) => from > now - windowMs);
    counts = counts.slice(firstAfter === -1 ? -1 : Math.max(0, firstAfter - 1));
    return Math.max(...counts.map((counted) => counted.count));
  }

  /** Whether each other instance counts this one, and this one counts it. */
  function isCounted(current: FleetView): boolean {
    const { listedSince, startedWithAll, knownAt } = current;
    if (startedWithAll) return knownAt - listedSince >= FLEET_LISTING_MS;
    return performance.now() - listedSince >= MAX_VIEW_AGE_MS + windowMs;
  }

  /**
   * What is left of an allowance beside what an earlier process may have used in
   * the window. Two starts in a window would use the unconfirmed part twice.
   */
  function unusedByPredecessor({ predecessorRanForMs }: FleetView): number {
    const isOver = performance.now() - startedAt >= windowMs;
    if (predecessorRanForMs === null || isOver) return 1;
    return predecessorRanForMs < windowMs ? 0 : UNCONFIRMED_PART;
  }

  return () => {
    const current = view();
    const { count, knownAt, renewedAt } = current;
    const now = performance.now();
    const ratio = unusedByPredecessor(current);
    if (count === null || now - renewedAt > MAX_RENEWAL_AGE_MS)
      return { slack: 0, ratio };
    const isWhole = isCounted(current) && now - knownAt <= MAX_VIEW_AGE_MS;
    const confirmed = isWhole ? 1 : UNCONFIRMED_PART;
    return { slack: Math.min(ratio, confirmed) / greatestCount(count), ratio };
  };
}
