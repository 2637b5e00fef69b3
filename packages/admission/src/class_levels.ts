/**
 * Load limits of classes, for the load of callers that compete for too little
 * capacity: capacity that urgent requests are about to need is kept free of
 * less urgent ones. The limits follow from the demand at all instances, so that
 * instances with the same sums have the same limits.
 */
import type { ClassDemand, DemandByClass } from "./class_demand.ts";

/**
 * Time for which the arrivals of a class are reserved. Within it a new level
 * reaches all instances: reports go out within 40 ms and are applied within
 * some 200 ms, which leaves room in an objective of 500 ms.
 */
const RESERVED_ARRIVALS_SECONDS = 0.4;
/** Bound on the reserves of all classes, as a share of the capacity. */
const MAX_RESERVE = 0.35;
/** Held share of the capacity above which reserves begin to apply. */
const PRESSURE_BEGINS_SHARE = 0.7;
/** Held share of the capacity under which reserves may end. */
const PRESSURE_ENDS_SHARE = 0.55;
/** Time without urgent requests that wait after which reserves may end. */
const URGENT_WAIT_MEMORY_MS = 1_000;
/** A class with less than this share of what is held is not limited. */
const MIN_HELD_SHARE = 0.05;
/**
 * Share from which it is limited again. With one bound for both, a class that
 * is limited each time that it reaches its minimum holds less than it.
 */
const LIMITED_AGAIN_SHARE = 0.075;
/**
 * Time for which a limit has to be too low before it rises. Pressure often
 * comes and goes within some 300 ms, as responses end in groups.
 */
const RISE_DELAY_MS = 400;
const MAX_RISE = 0.1;
const RISE_INTERVAL_MS = 200;

/** Limit of one class. */
export interface ClassLevel {
  readonly priority: number;
  /** Share of each engine's memory up to which requests are admitted. */
  readonly loadLimit: number;
  /** Share of the capacity that is reserved for more urgent classes. */
  readonly reserve: number;
}

export interface ClassLevels {
  /**
   * Recomputes the levels from the demand of all instances; `capacity` is in
   * tokens of complete responses. Classes without demand are listed too, since
   * only the least urgent listed class counts as not urgent.
   */
  update(demand: DemandByClass, capacity: number): void;
  /**
   * Share of each engine's memory up to which a request of the class is
   * admitted, 0 to 1.
   */
  loadLimitOf(priority: number): number;
  /** Levels of the listed classes, the most urgent first. */
  levels(): readonly ClassLevel[];
}

/** A level that the demand calls for. */
interface Target extends ClassLevel {
  /** Whether the class holds so little that it is not limited. */
  readonly isExempt: boolean;
}

interface LevelState extends Target {
  /** Since when the limit is too low; `null` if it isn't. */
  readonly tooLowSince: number | null;
}

/** Creates levels of which each limit is 1. */
export function createClassLevels(
  options: {
    readonly onChanged?: (levels: readonly ClassLevel[]) => void;
  } = {},
): ClassLevels {
  let states: readonly LevelState[] = [];
  let isUnderPressure = false;
  let urgentWaitedAt = -Infinity;
  let updatedAt = -Infinity;

  function updatePressure(
    classes: readonly ListedClass[],
    heldShare: number,
  ): void {
    const now = performance.now();
    const hasUrgentWaiting = classes
      .slice(0, -1)
      .some(({ demand }) => demand.waiting > 0);
    if (hasUrgentWaiting) urgentWaitedAt = now;
    if (heldShare > PRESSURE_BEGINS_SHARE || hasUrgentWaiting)
      isUnderPressure = true;
    else if (
      heldShare < PRESSURE_ENDS_SHARE &&
      now - urgentWaitedAt >= URGENT_WAIT_MEMORY_MS
    )
      isUnderPressure = false;
  }

  /** Lowers a limit at once, and raises it late and in small steps. */
  function approach(
    target: Target,
    mostUrgent: Target | undefined,
  ): LevelState {
    const now = performance.now();
    const last = stateOf(target.priority);
    const lastLimit = last?.loadLimit ?? 1;
    const isMostUrgent = target === mostUrgent;
    if (!isUnderPressure || isMostUrgent || target.loadLimit <= lastLimit)
      return { ...target, tooLowSince: null };
    const tooLowSince = last?.tooLowSince ?? now;
    const risingMs = Math.min(
      RISE_INTERVAL_MS,
      now - Math.max(updatedAt, tooLowSince + RISE_DELAY_MS),
    );
    const rise = (Math.max(0, risingMs) / RISE_INTERVAL_MS) * MAX_RISE;
    const loadLimit = Math.min(target.loadLimit, lastLimit + rise);
    return { ...target, loadLimit, tooLowSince };
  }

  function stateOf(priority: number): LevelState | undefined {
    return states.find((state) => state.priority === priority);
  }

  /** The levels that the demand calls for. */
  function decideTargets(
    classes: readonly ListedClass[],
    { capacity, held }: { readonly capacity: number; readonly held: number },
  ): Target[] {
    let reserve = 0;
    return classes.map(({ priority, demand }) => {
      const isExempt = isExemptAt(demand.held / held, stateOf(priority));
      const isLimited = isUnderPressure && !isExempt;
      const target = {
        priority,
        loadLimit: isLimited ? 1 - reserve : 1,
        reserve: isUnderPressure ? reserve : 0,
        isExempt,
      };
      // The bound is used up in order of urgency, so that a burst of a less
      // urgent class doesn't reduce the reserve of a more urgent one.
      reserve = Math.min(MAX_RESERVE, reserve + neededShare(demand, capacity));
      return target;
    });
  }

  return {
    update(demand, capacity) {
      const classes = listClasses(demand);
      const held = classes.reduce((sum, { demand }) => sum + demand.held, 0);
      updatePressure(classes, capacity > 0 ? held / capacity : 0);
      const targets = decideTargets(classes, { capacity, held });
      const previous = states;
      states = targets.map((target) => approach(target, targets[0]));
      updatedAt = performance.now();
      if (haveLimitsChanged(previous, states)) options.onChanged?.(states);
    },
    loadLimitOf(priority) {
      // A class that isn't listed yet has the limit of the next listed one.
      const state = states.find((listed) => listed.priority >= priority);
      return (state ?? states.at(-1))?.loadLimit ?? 1;
    },
    levels: () =>
      states.map(({ priority, loadLimit, reserve }) => ({
        priority,
        loadLimit,
        reserve,
      })),
  };
}

interface ListedClass {
  readonly priority: number;
  readonly demand: ClassDemand;
}

/** Classes by priority, the most urgent first. */
function listClasses(demand: DemandByClass): ListedClass[] {
  return [...demand]
    .map(([priority, demand]) => ({ priority, demand }))
    .sort((a, b) => a.priority - b.priority);
}

/** `heldShare` is not a number if nothing is held. */
function isExemptAt(heldShare: number, last: Target | undefined): boolean {
  if (heldShare < MIN_HELD_SHARE) return true;
  return heldShare < LIMITED_AGAIN_SHARE && last?.isExempt === true;
}

/** Share of the capacity that a class is about to need. */
function neededShare(
  { arrivingPerSecond, waiting }: ClassDemand,
  capacity: number,
): number {
  const tokens = arrivingPerSecond * RESERVED_ARRIVALS_SECONDS + waiting;
  return tokens > 0 && capacity > 0 ? tokens / capacity : 0;
}

function haveLimitsChanged(
  previous: readonly ClassLevel[],
  current: readonly ClassLevel[],
): boolean {
  return (
    previous.length !== current.length ||
    current.some(
      ({ priority, loadLimit }, at) =>
        previous[at]?.priority !== priority ||
        previous[at]?.loadLimit !== loadLimit,
    )
  );
}
