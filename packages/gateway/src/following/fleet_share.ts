/**
 * The part of a fleet-wide allowance that this instance may use. Parts are
 * divided by names, and in any window each name uses its part at most once and a
 * quarter:
 *
 * - An instance uses none before each other one counts it, and none once it can
 *   no longer tell how many there are, or once others may stop counting it.
 * - A process uses none before its entry is stored, so that the process after it
 *   knows of it.
 * - In its first window a process uses a quarter if its name was in use by one
 *   process for a whole window before, and none otherwise.
 */
import type { RetryShare } from "@rosemarypin/limits";

/** What an instance knows of the list of all instances in the store. */
export interface FleetView {
  /**
   * The most instances in the list lately, this one included; `null` before it
   * was read.
   */
  readonly count: number | null;
  /** When the list was as it is known here, or later. */
  readonly knownAt: number;
  /** Since when this instance has been in the list without a gap. */
  readonly listedSince: number;
  /** Whether it started together with all others, so that none counts fewer. */
  readonly startedWithAll: boolean;
  /**
   * How long the process before this one ran, as its last renewal says; `null`
   * if none is known.
   */
  readonly predecessorRanForMs: number | null;
  /** When this instance last renewed its entry. */
  readonly renewedAt: number;
}

/**
 * Age of an entry from which each other instance lists it, or has no part since
 * its list is older.
 */
export const JOIN_MS = 30_000;
/** The same where all start together, and each lists the others afterwards. */
export const FLEET_LISTING_MS = 5_000;
/** Age of a list where the store, or a relay, may answer with old data. */
export const MAX_LIST_LAG_MS = 10_000;
/** Age of a renewal from which others may soon drop the entry. */
export const MAX_RENEWAL_AGE_MS = 50_000;
/**
 * Share of its part that a process has while the one before it may have used the
 * part. It fits in the margin that users of an allowance leave unused.
 */
const STARTING_PART = 1 / 4;

const NONE = 0;

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

  /** Whether each other instance counts this one, and this one counts it. */
  function isCounted(current: FleetView): boolean {
    const { listedSince, startedWithAll, knownAt } = current;
    if (startedWithAll) return knownAt - listedSince >= FLEET_LISTING_MS;
    return performance.now() - listedSince >= JOIN_MS + windowMs;
  }

  return () => {
    const current = view();
    const { count, knownAt, renewedAt, predecessorRanForMs } = current;
    const now = performance.now();
    if (count === null || now - renewedAt > MAX_RENEWAL_AGE_MS)
      return { part: NONE, standing: "not_listed" };
    if (now - knownAt > JOIN_MS) return { part: NONE, standing: "old_list" };
    const isFirstWindow = now - startedAt < windowMs;
    if (isFirstWindow && (predecessorRanForMs ?? 0) < windowMs)
      return { part: NONE, standing: "starting" };
    if (!isCounted(current)) return { part: NONE, standing: "joining" };
    return isFirstWindow
      ? { part: STARTING_PART / count, standing: "starting" }
      : { part: 1 / count, standing: "whole" };
  };
}
