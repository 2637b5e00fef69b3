/** Improves groups of engines by local search with moves and swaps. */
import type { GroupEvaluator } from "./engine_kinds.ts";
import {
  compareScores,
  type ModelRate,
  scoreRates,
  ZERO_RATE,
} from "./plan_score.ts";
import type { PlanModel } from "./plan_types.ts";
import type { TimeSlice } from "./time_slice.ts";

/** A group of engines, as ascending indexes into the list of kinds. */
export interface KindGroup {
  readonly model: PlanModel;
  readonly kinds: readonly number[];
}

export interface LocalSearchOptions {
  readonly evaluator: GroupEvaluator;
  /** Pipelines outside the search that count towards the score, by model. */
  readonly existing: ReadonlyMap<string, ModelRate>;
  /** Maximum number of passes over all pairs of groups. */
  readonly passes: number;
  readonly slice: TimeSlice;
}

/** The kinds of two groups after a neighbourhood move. */
interface Move {
  readonly first: readonly number[];
  readonly second: readonly number[];
}

/** A group and the time of its slowest stage, in milliseconds. */
interface TimedGroup {
  readonly model: PlanModel;
  kinds: readonly number[];
  timeMs: number;
}

/** Applies improving moves until none is left or all passes are used. */
export async function improveGroups(
  start: readonly KindGroup[],
  options: LocalSearchOptions,
): Promise<readonly KindGroup[]> {
  const { evaluator, existing, slice } = options;
  const groups = start.map(
    ({ model, kinds }): TimedGroup => ({
      model,
      kinds,
      timeMs: evaluator.slowestMs(model, kinds),
    }),
  );
  const rates = new Map<string, ModelRate>(existing);
  for (const { model, timeMs } of groups) addRate(model, timeMs, 1);

  function rateOf(model: string): ModelRate {
    return rates.get(model) ?? ZERO_RATE;
  }

  function addRate(model: PlanModel, timeMs: number, sign: 1 | -1): void {
    if (timeMs === Infinity) return;
    const current = rateOf(model.model);
    rates.set(model.model, {
      pipelines: current.pipelines + sign,
      rate: current.rate + sign / timeMs,
    });
  }

  function replaceTimes(
    pair: readonly [TimedGroup, TimedGroup],
    next: readonly [number, number],
  ): void {
    pair.forEach((group, index) => {
      addRate(group.model, group.timeMs, -1);
      group.timeMs = next[index] ?? Infinity;
      addRate(group.model, group.timeMs, 1);
    });
  }

  /**
   * Applies the move if it improves the score or, at an equal score, brings an
   * infeasible group closer to enough memory. Otherwise reverts it.
   */
  function applyIfBetter(
    groupA: TimedGroup,
    groupB: TimedGroup,
    { first, second }: Move,
  ): boolean {
    const before = [groupA.timeMs, groupB.timeMs] as const;
    const after = [
      evaluator.slowestMs(groupA.model, first),
      evaluator.slowestMs(groupB.model, second),
    ] as const;
    const areFeasible = before[0] < Infinity && before[1] < Infinity;
    const isSameModel = groupA.model === groupB.model;
    if (areFeasible && isSameModel && isNotFaster(before, after)) return false;
    // The move does not affect the scores of other models.
    const models = isSameModel ? [groupA.model] : [groupA.model, groupB.model];
    const scoreBefore = scoreRates(models, rateOf);
    replaceTimes([groupA, groupB], after);
    const gain = compareScores(scoreRates(models, rateOf), scoreBefore);
    const move = { first, second };
    if (
      gain > 0 ||
      (gain === 0 &&
        !areFeasible &&
        increasesMemoryCoverage(groupA, groupB, move))
    ) {
      groupA.kinds = first;
      groupB.kinds = second;
      return true;
    }
    replaceTimes([groupA, groupB], before);
    return false;
  }

  /**
   * Whether the move increases the memory coverage of both groups together.
   * The score of an infeasible group does not change before it has enough
   * memory, so only this guides the search towards feasibility.
   */
  function increasesMemoryCoverage(
    groupA: TimedGroup,
    groupB: TimedGroup,
    { first, second }: Move,
  ): boolean {
    const { memoryCoverage } = evaluator;
    const before =
      memoryCoverage(groupA.model, groupA.kinds) +
      memoryCoverage(groupB.model, groupB.kinds);
    const after =
      memoryCoverage(groupA.model, first) +
      memoryCoverage(groupB.model, second);
    return after > before + ROUNDING_TOLERANCE;
  }

  for (let pass = 0; pass < options.passes; pass++) {
    let hasImproved = false;
    for (let a = 0; a < groups.length; a++) {
      if (slice.shouldYield()) await slice.yieldToEventLoop();
      for (let b = 0; b < groups.length; b++) {
        const groupA = groups[a];
        const groupB = groups[b];
        if (!groupA || !groupB || a === b) continue;
        for (const move of neighbourMoves(groupA, groupB, a < b)) {
          if (!applyIfBetter(groupA, groupB, move)) continue;
          hasImproved = true;
          // The remaining moves were generated for the previous groups.
          break;
        }
      }
    }
    if (!hasImproved) break;
  }
  return groups;
}

const ROUNDING_TOLERANCE = 1e-9;

/**
 * Yields moves of one engine, swaps of two engines and, between groups of
 * different models, the exchange of all engines.
 */
function* neighbourMoves(
  first: KindGroup,
  second: KindGroup,
  includeSwaps: boolean,
): Generator<Move> {
  if (includeSwaps && first.model !== second.model) {
    yield { first: second.kinds, second: first.kinds };
  }
  for (const kind of new Set(first.kinds)) {
    const firstWithout = removeKind(first.kinds, kind);
    yield { first: firstWithout, second: insertKind(second.kinds, kind) };
    if (!includeSwaps) continue;
    for (const otherKind of new Set(second.kinds)) {
      if (otherKind === kind) continue;
      const secondWithout = removeKind(second.kinds, otherKind);
      yield {
        first: insertKind(firstWithout, otherKind),
        second: insertKind(secondWithout, kind),
      };
    }
  }
}

/**
 * Whether a move between two groups of one model leaves the number of feasible
 * ones unchanged and does not raise their total rate.
 */
function isNotFaster(
  before: readonly [number, number],
  after: readonly [number, number],
): boolean {
  const count = ([a, b]: readonly [number, number]) =>
    (a < Infinity ? 1 : 0) + (b < Infinity ? 1 : 0);
  const rate = ([a, b]: readonly [number, number]) => 1 / a + 1 / b;
  return count(after) === count(before) && rate(after) <= rate(before);
}

function insertKind(kinds: readonly number[], kind: number): readonly number[] {
  const index = kinds.findIndex((existing) => existing > kind);
  const insertAt = index < 0 ? kinds.length : index;
  return [...kinds.slice(0, insertAt), kind, ...kinds.slice(insertAt)];
}

function removeKind(kinds: readonly number[], kind: number): readonly number[] {
  const index = kinds.indexOf(kind);
  return kinds.filter((_, at) => at !== index);
}
