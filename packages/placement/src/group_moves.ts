/** Moves and swaps engines between pipelines while that gains. */
import type { GroupTimes } from "./engine_kinds.ts";
import {
  compareScores,
  type ModelRate,
  NO_RATE,
  scoreRates,
} from "./plan_score.ts";
import type { PlanModel } from "./plan_types.ts";
import type { TimeSlice } from "./time_slice.ts";

/** A group of engines, by their kinds in ascending order. */
export interface KindGroup {
  readonly model: PlanModel;
  readonly kinds: readonly number[];
}

export interface ImproveOptions {
  readonly times: GroupTimes;
  /** Pipelines that stay as they are, by model. */
  readonly existing: ReadonlyMap<string, ModelRate>;
  /** Rounds over all pairs of groups, at most. */
  readonly passes: number;
  readonly slice: TimeSlice;
}

/** Two groups as they would be after a change. */
interface Change {
  readonly first: readonly number[];
  readonly second: readonly number[];
}

/** A group with the time of its slowest stage. */
interface TimedGroup {
  readonly model: PlanModel;
  kinds: readonly number[];
  timeMs: number;
}

/** Returns groups of which no single move or swap gains any more. */
export async function improveGroups(
  start: readonly KindGroup[],
  options: ImproveOptions,
): Promise<readonly KindGroup[]> {
  const { times, existing, slice } = options;
  const groups = start.map(
    ({ model, kinds }): TimedGroup => ({
      model,
      kinds,
      timeMs: times.slowestMs(model, kinds),
    }),
  );
  const rates = new Map<string, ModelRate>(existing);
  for (const { model, timeMs } of groups) add(model, timeMs, 1);

  function rateOf(model: string): ModelRate {
    return rates.get(model) ?? NO_RATE;
  }

  function add(model: PlanModel, timeMs: number, sign: 1 | -1): void {
    if (timeMs === Infinity) return;
    const known = rateOf(model.model);
    rates.set(model.model, {
      pipelines: known.pipelines + sign,
      rate: known.rate + sign / timeMs,
    });
  }

  function replaceTimes(
    pair: readonly [TimedGroup, TimedGroup],
    next: readonly [number, number],
  ): void {
    pair.forEach((group, index) => {
      add(group.model, group.timeMs, -1);
      group.timeMs = next[index] ?? Infinity;
      add(group.model, group.timeMs, 1);
    });
  }

  /** Makes the change if it gains; puts all back if it does not. */
  function attempt(
    one: TimedGroup,
    other: TimedGroup,
    { first, second }: Change,
  ): boolean {
    const before = [one.timeMs, other.timeMs] as const;
    const after = [
      times.slowestMs(one.model, first),
      times.slowestMs(other.model, second),
    ] as const;
    const isWhole = before[0] < Infinity && before[1] < Infinity;
    const isSame = one.model === other.model;
    if (isWhole && isSame && isNoGain(before, after)) return false;
    // The other models' parts of the score stay as they are.
    const models = isSame ? [one.model] : [one.model, other.model];
    const scoreBefore = scoreRates(models, rateOf);
    replaceTimes([one, other], after);
    const gain = compareScores(scoreRates(models, rateOf), scoreBefore);
    const change = { first, second };
    if (gain > 0 || (gain === 0 && !isWhole && completes(one, other, change))) {
      one.kinds = first;
      other.kinds = second;
      return true;
    }
    replaceTimes([one, other], before);
    return false;
  }

  /**
   * A group that lacks memory gains nothing by one engine more. Those that
   * are of no use elsewhere go to it all the same, until it is whole.
   */
  function completes(
    one: TimedGroup,
    other: TimedGroup,
    { first, second }: Change,
  ): boolean {
    const { memoryShare } = times;
    const before =
      memoryShare(one.model, one.kinds) + memoryShare(other.model, other.kinds);
    const after =
      memoryShare(one.model, first) + memoryShare(other.model, second);
    return after > before + ROUNDING;
  }

  for (let pass = 0; pass < options.passes; pass++) {
    let gained = false;
    for (let a = 0; a < groups.length; a++) {
      if (slice.isSpent()) await slice.giveWay();
      for (let b = 0; b < groups.length; b++) {
        const one = groups[a];
        const other = groups[b];
        if (!one || !other || a === b) continue;
        for (const change of changes(one, other, a < b)) {
          if (!attempt(one, other, change)) continue;
          gained = true;
          // The other changes were made for the groups as they were before.
          break;
        }
      }
    }
    if (!gained) break;
  }
  return groups;
}

const ROUNDING = 1e-9;

/** One engine moved, two swapped, or all of two models' groups exchanged. */
function* changes(
  first: KindGroup,
  second: KindGroup,
  withSwaps: boolean,
): Generator<Change> {
  if (withSwaps && first.model !== second.model) {
    yield { first: second.kinds, second: first.kinds };
  }
  for (const kind of new Set(first.kinds)) {
    const rest = without(first.kinds, kind);
    yield { first: rest, second: withKind(second.kinds, kind) };
    if (!withSwaps) continue;
    for (const other of new Set(second.kinds)) {
      if (other === kind) continue;
      const back = without(second.kinds, other);
      yield { first: withKind(rest, other), second: withKind(back, kind) };
    }
  }
}

/** Whether two groups of one model finish no more together than before. */
function isNoGain(
  before: readonly [number, number],
  after: readonly [number, number],
): boolean {
  const count = ([a, b]: readonly [number, number]) =>
    (a < Infinity ? 1 : 0) + (b < Infinity ? 1 : 0);
  const rate = ([a, b]: readonly [number, number]) => 1 / a + 1 / b;
  return count(after) === count(before) && rate(after) <= rate(before);
}

function withKind(kinds: readonly number[], kind: number): readonly number[] {
  const at = kinds.findIndex((other) => other > kind);
  const place = at < 0 ? kinds.length : at;
  return [...kinds.slice(0, place), kind, ...kinds.slice(place)];
}

function without(kinds: readonly number[], kind: number): readonly number[] {
  const index = kinds.indexOf(kind);
  return kinds.filter((_, at) => at !== index);
}
