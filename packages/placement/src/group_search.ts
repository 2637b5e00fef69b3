/**
 * Searches for the best division of engines into pipelines of several models.
 * Engines of one kind are interchangeable, so a group is a list of kinds: a
 * domain of 81 engines has few kinds, and equal groups are evaluated once.
 */

import { assignEngines, type EngineGroup } from "./engine_assignment.ts";
import { createGroupEvaluator, listKinds } from "./engine_kinds.ts";
import { allocateEngines } from "./group_allocation.ts";
import { improveGroups, type KindGroup } from "./group_local_search.ts";
import {
  compareScores,
  type ModelRate,
  type Score,
  scoreRates,
  sumRates,
  ZERO_RATE,
} from "./plan_score.ts";
import type { PlanEngine, PlanModel } from "./plan_types.ts";
import { createTimeSlice } from "./time_slice.ts";

export interface GroupSearchOptions {
  readonly models: readonly PlanModel[];
  /** Pipelines outside the search that count towards the score, by model. */
  readonly existing?: ReadonlyMap<string, ModelRate>;
}

/** Passes over all pairs of groups when a candidate is refined. */
const MAX_PASSES = 30;
/** Larger domains explore with one pass, and from the best start only. */
const THOROUGH_SEARCH_MAX_ENGINES = 16;
/** Number of best-scoring candidates that are refined. */
const FINALIST_COUNT = 3;
/** Number of least served models that are tried for another pipeline. */
const MAX_MODELS_TRIED = 3;

interface Candidate {
  /** The model of each group. */
  readonly groupModels: readonly PlanModel[];
  readonly groups: readonly KindGroup[];
  readonly score: Score;
}

/**
 * Searches heuristically for the groups with the best score. Engines without
 * a part in a feasible pipeline are left out.
 */
export async function searchGroups(
  engines: readonly PlanEngine[],
  options: GroupSearchOptions,
): Promise<readonly EngineGroup[]> {
  const { models, existing = new Map<string, ModelRate>() } = options;
  const kinds = listKinds(engines);
  const evaluator = createGroupEvaluator(kinds);
  const slice = createTimeSlice();
  const explorationPasses =
    engines.length <= THOROUGH_SEARCH_MAX_ENGINES ? MAX_PASSES : 1;

  function createRateOf(groups: readonly KindGroup[]) {
    const groupRates = sumRates(
      groups.map(({ model, kinds: members }) => ({
        model: model.model,
        slowestMs: evaluator.slowestMs(model, members),
      })),
    );
    return (model: string): ModelRate => {
      const before = existing.get(model) ?? ZERO_RATE;
      const added = groupRates.get(model) ?? ZERO_RATE;
      return {
        pipelines: before.pipelines + added.pipelines,
        rate: before.rate + added.rate,
      };
    };
  }

  /**
   * Allocates by time and, if a group turns out infeasible, by memory too.
   * Where nearly all memory is needed, single moves may not repair a group
   * that lacks memory, and a model would lose its redundant pipeline.
   */
  async function allocateAndImprove(
    groupModels: readonly PlanModel[],
    passes: number,
  ): Promise<Candidate> {
    const timeBalanced = allocateEngines(kinds, {
      groupModels,
      limitedBy: "time",
    });
    const found = await improve(timeBalanced, passes);
    const areAllFeasible = found.groups.every(
      ({ model, kinds: members }) =>
        evaluator.slowestMs(model, members) < Infinity,
    );
    if (areAllFeasible) return found;
    const memoryBalanced = allocateEngines(kinds, {
      groupModels,
      limitedBy: "memory",
    });
    return betterCandidate(found, await improve(memoryBalanced, passes));
  }

  async function improve(
    start: readonly KindGroup[],
    passes: number,
  ): Promise<Candidate> {
    const options = { evaluator, existing, passes, slice };
    const groups = await improveGroups(start, options);
    const groupModels = groups.map(({ model }) => model);
    return {
      groupModels,
      groups,
      score: scoreRates(models, createRateOf(groups)),
    };
  }

  /**
   * Models with the fewest pipelines, counted up to two, and among them those
   * with the lowest rate in proportion to their weight.
   */
  function leastServedModels(candidate: Candidate): readonly PlanModel[] {
    const rateOf = createRateOf(candidate.groups);
    const serviceLevel = ({ model, weight }: PlanModel) => {
      const { pipelines, rate } = rateOf(model);
      return { pipelines: Math.min(pipelines, 2), rate: rate / weight };
    };
    const ordered = [...models].sort((a, b) => {
      const levelA = serviceLevel(a);
      const levelB = serviceLevel(b);
      return levelA.pipelines - levelB.pipelines || levelA.rate - levelB.rate;
    });
    return ordered.slice(0, MAX_MODELS_TRIED);
  }

  /** Returns the best candidate with up to two more pipelines of one model. */
  async function addPipelines(current: Candidate): Promise<Candidate> {
    let best = current;
    // Where engines differ much, one more pipeline can lower the score and a
    // second one raise it, so both numbers are tried.
    const additions = leastServedModels(current).flatMap((model) => [
      [model],
      [model, model],
    ]);
    for (const added of additions) {
      const empty = added.map((model) => ({ model, kinds: [] }));
      const reallocated = await allocateAndImprove(
        [...current.groupModels, ...added],
        explorationPasses,
      );
      const extended = await improve(
        [...current.groups, ...empty],
        explorationPasses,
      );
      best = betterCandidate(best, betterCandidate(reallocated, extended));
    }
    return best;
  }

  /** Adds pipelines while the score improves; returns every candidate. */
  async function addPipelinesGreedily(
    start: Candidate,
  ): Promise<readonly Candidate[]> {
    const visited = [start];
    let current = start;
    while (current.groupModels.length < engines.length) {
      const next = await addPipelines(current);
      if (next === current) break;
      visited.push(next);
      current = next;
    }
    return visited;
  }

  // From an empty start alone, the first model served could take engines that
  // another model needs.
  const starts: Candidate[] = [];
  for (const groupModels of [[], models, [...models, ...models]]) {
    starts.push(await allocateAndImprove(groupModels, explorationPasses));
  }
  const isSmall = engines.length <= THOROUGH_SEARCH_MAX_ENGINES;
  const candidates: Candidate[] = [];
  for (const start of isSmall ? starts : [starts.reduce(betterCandidate)]) {
    candidates.push(...(await addPipelinesGreedily(start)));
  }
  const ranked = candidates.sort((a, b) => compareScores(b.score, a.score));
  const refined: Candidate[] = [];
  for (const { groupModels, groups } of ranked.slice(0, FINALIST_COUNT)) {
    refined.push(
      await allocateAndImprove(groupModels, MAX_PASSES),
      await improve(groups, MAX_PASSES),
    );
  }
  const best = refined.reduce(betterCandidate);
  const feasible = best.groups.filter(
    ({ model, kinds: members }) =>
      evaluator.slowestMs(model, members) < Infinity,
  );
  return assignEngines(feasible, kinds);
}

/** Returns the candidate with the better score, `a` on a tie. */
function betterCandidate(a: Candidate, b: Candidate): Candidate {
  return compareScores(b.score, a.score) > 0 ? b : a;
}
