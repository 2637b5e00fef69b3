/**
 * Groups engines into pipelines of several models. Engines of one kind are
 * interchangeable, so a group is a list of kinds: a domain of 81 engines has
 * few of them, and equal groups are timed once.
 */
import {
  createGroupTimes,
  type EngineKind,
  listKinds,
} from "./engine_kinds.ts";
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

/** Engines that are to form one pipeline. */
export interface EngineGroup {
  readonly model: PlanModel;
  readonly engines: readonly PlanEngine[];
}

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
export function searchGroups(
  engines: readonly PlanEngine[],
  options: GroupSearchOptions,
): readonly EngineGroup[] {
  const { models, existing = new Map<string, ModelRate>() } = options;
  const kinds = listKinds(engines);
  const times = createGroupTimes(kinds);
  const firstPasses = engines.length <= THOROUGH_UP_TO ? PASSES : 1;

  function rates(groups: readonly KindGroup[]) {
    const own = sumRates(
      groups.map(({ model, kinds: members }) => ({
        model: model.model,
        slowestMs: times(model, members),
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

  function search(wanted: readonly PlanModel[], passes: number): Candidate {
    return improve(dealKinds(kinds, wanted), passes);
  }

  function improve(start: readonly KindGroup[], passes: number): Candidate {
    const groups = improveGroups(start, { models, times, existing, passes });
    const wanted = groups.map(({ model }) => model);
    return { wanted, groups, score: scoreRates(models, rates(groups)) };
  }

  /** Deals all engines anew, or finds some for one more pipeline. */
  function tryMore(
    current: Candidate,
    added: readonly PlanModel[],
  ): readonly Candidate[] {
    const empty = added.map((model) => ({ model, kinds: [] }));
    return [
      search([...current.wanted, ...added], firstPasses),
      improve([...current.groups, ...empty], firstPasses),
    ];
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

  /** Adds pipelines while that gains; every step is a candidate. */
  function grow(start: Candidate): readonly Candidate[] {
    const seen = [start];
    let current = start;
    while (current.wanted.length < engines.length) {
      const before = current;
      // Two at once as well: where engines differ much, one more pipeline
      // can lose and the next one gain.
      const tries = neediest(before)
        .flatMap((model) => [[model], [model, model]])
        .flatMap((added) => tryMore(before, added));
      const best = tries.reduce(better);
      if (compareScores(best.score, before.score) <= 0) break;
      seen.push(best);
      current = best;
    }
    return seen;
  }

  // Begun from nothing alone, the first model served could take the engines
  // that another one cannot do without.
  const starts = [[], models, [...models, ...models]].map((wanted) =>
    search(wanted, firstPasses),
  );
  const isSmall = engines.length <= THOROUGH_UP_TO;
  const seen = (isSmall ? starts : [starts.reduce(better)]).flatMap(grow);
  const finalists = seen.sort((a, b) => compareScores(b.score, a.score));
  const best = finalists
    .slice(0, FINALISTS)
    .flatMap(({ wanted, groups }) => [
      search(wanted, PASSES),
      improve(groups, PASSES),
    ])
    .reduce(better);
  return takeEngines(best.groups, { kinds, times });
}

function better(a: Candidate, b: Candidate): Candidate {
  return compareScores(b.score, a.score) > 0 ? b : a;
}

/** Puts engines in the place of kinds; those that suffice for nothing stay. */
function takeEngines(
  groups: readonly KindGroup[],
  options: {
    readonly kinds: readonly EngineKind[];
    readonly times: ReturnType<typeof createGroupTimes>;
  },
): readonly EngineGroup[] {
  const left = options.kinds.map(({ engines }) => [...engines]);
  return groups
    .filter((group) => options.times(group.model, group.kinds) < Infinity)
    .map(({ model, kinds }) => ({
      model,
      engines: kinds.flatMap((kind) => {
        const engine = takeNearest(left[kind] ?? [], model);
        return engine ? [engine] : [];
      }),
    }));
}

/** One that holds layers of the model already, if there is one. */
function takeNearest(
  engines: PlanEngine[],
  { model }: PlanModel,
): PlanEngine | undefined {
  const index = engines.findIndex(({ holds }) =>
    holds.some((held) => held.model === model),
  );
  return engines.splice(Math.max(0, index), 1)[0];
}
