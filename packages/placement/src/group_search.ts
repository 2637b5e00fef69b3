/**
 * Groups engines into pipelines of several models. Engines of one kind are
 * interchangeable, so a group is a list of kinds: a domain of 81 engines has
 * few of them, and equal groups are timed once.
 */

import { chooseEngines, type EngineGroup } from "./engine_choice.ts";
import { createGroupTimes, listKinds } from "./engine_kinds.ts";
import { dealKinds } from "./group_deal.ts";
import { improveGroups, type KindGroup } from "./group_moves.ts";
import {
  compareScores,
  type ModelRate,
  NO_RATE,
  type Score,
  scoreRates,
  sumRates,
} from "./plan_score.ts";
import type { PlanEngine, PlanModel } from "./plan_types.ts";
import { createTimeSlice } from "./time_slice.ts";

export interface GroupSearchOptions {
  readonly models: readonly PlanModel[];
  /** Pipelines that stay as they are, by model. */
  readonly existing?: ReadonlyMap<string, ModelRate>;
}

/** Rounds over all pairs of groups in the last search. */
const PASSES = 30;
/** With more engines, numbers of pipelines are compared by one round each. */
const THOROUGH_UP_TO = 16;
/** Numbers of pipelines that are searched to the end. */
const FINALISTS = 3;
/** Models tried for one more pipeline, the least served first. */
const TRIED_MODELS = 3;

interface Candidate {
  /** The model of each group. */
  readonly wanted: readonly PlanModel[];
  readonly groups: readonly KindGroup[];
  readonly score: Score;
}

/** Finds the groups that score best; engines of no use are left out. */
export async function searchGroups(
  engines: readonly PlanEngine[],
  options: GroupSearchOptions,
): Promise<readonly EngineGroup[]> {
  const { models, existing = new Map<string, ModelRate>() } = options;
  const kinds = listKinds(engines);
  const times = createGroupTimes(kinds);
  const slice = createTimeSlice();
  const firstPasses = engines.length <= THOROUGH_UP_TO ? PASSES : 1;

  function rates(groups: readonly KindGroup[]) {
    const own = sumRates(
      groups.map(({ model, kinds: members }) => ({
        model: model.model,
        slowestMs: times.slowestMs(model, members),
      })),
    );
    return (model: string): ModelRate => {
      const before = existing.get(model) ?? NO_RATE;
      const added = own.get(model) ?? NO_RATE;
      return {
        pipelines: before.pipelines + added.pipelines,
        rate: before.rate + added.rate,
      };
    };
  }

  /**
   * Where memory is nearly all needed, groups dealt by speed can lack some
   * that single moves do not bring together: a spare would be missed.
   */
  async function search(
    wanted: readonly PlanModel[],
    passes: number,
  ): Promise<Candidate> {
    const byTime = dealKinds(kinds, { wanted, by: "time" });
    const found = await improve(byTime, passes);
    const isWhole = found.groups.every(
      ({ model, kinds: members }) => times.slowestMs(model, members) < Infinity,
    );
    if (isWhole) return found;
    const byMemory = dealKinds(kinds, { wanted, by: "memory" });
    return better(found, await improve(byMemory, passes));
  }

  async function improve(
    start: readonly KindGroup[],
    passes: number,
  ): Promise<Candidate> {
    const options = { times, existing, passes, slice };
    const groups = await improveGroups(start, options);
    const wanted = groups.map(({ model }) => model);
    return { wanted, groups, score: scoreRates(models, rates(groups)) };
  }

  /** The models to try one more pipeline for. */
  function neediest(candidate: Candidate): readonly PlanModel[] {
    const rateOf = rates(candidate.groups);
    const need = ({ model, weight }: PlanModel) => {
      const { pipelines, rate } = rateOf(model);
      return { pipelines: Math.min(pipelines, 2), rate: rate / weight };
    };
    const ordered = [...models].sort((a, b) => {
      const x = need(a);
      const y = need(b);
      return x.pipelines - y.pipelines || x.rate - y.rate;
    });
    return ordered.slice(0, TRIED_MODELS);
  }

  /** The best with one more pipeline, or two, of some model. */
  async function addPipeline(current: Candidate): Promise<Candidate> {
    let best = current;
    // Two at once as well: where engines differ much, one more pipeline can
    // lose and the next one gain.
    const more = neediest(current).flatMap((model) => [
      [model],
      [model, model],
    ]);
    for (const added of more) {
      const empty = added.map((model) => ({ model, kinds: [] }));
      const dealt = await search([...current.wanted, ...added], firstPasses);
      const grown = await improve([...current.groups, ...empty], firstPasses);
      best = better(best, better(dealt, grown));
    }
    return best;
  }

  /** Adds pipelines while that gains; every step is a candidate. */
  async function grow(start: Candidate): Promise<readonly Candidate[]> {
    const seen = [start];
    let current = start;
    while (current.wanted.length < engines.length) {
      const next = await addPipeline(current);
      if (next === current) break;
      seen.push(next);
      current = next;
    }
    return seen;
  }

  // Begun from nothing alone, the first model served could take the engines
  // that another one cannot do without.
  const starts: Candidate[] = [];
  for (const wanted of [[], models, [...models, ...models]]) {
    starts.push(await search(wanted, firstPasses));
  }
  const isSmall = engines.length <= THOROUGH_UP_TO;
  const seen: Candidate[] = [];
  for (const start of isSmall ? starts : [starts.reduce(better)]) {
    seen.push(...(await grow(start)));
  }
  const finalists = seen.sort((a, b) => compareScores(b.score, a.score));
  const ended: Candidate[] = [];
  for (const { wanted, groups } of finalists.slice(0, FINALISTS)) {
    ended.push(await search(wanted, PASSES), await improve(groups, PASSES));
  }
  const best = ended.reduce(better);
  const whole = best.groups.filter(
    ({ model, kinds: members }) => times.slowestMs(model, members) < Infinity,
  );
  return chooseEngines(whole, kinds);
}

/** The first of two that are as good. */
function better(a: Candidate, b: Candidate): Candidate {
  return compareScores(b.score, a.score) > 0 ? b : a;
}
