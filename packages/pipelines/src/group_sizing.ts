/** Computes the target capacity and the reserve of a group of engines. */
import { maxLayersWithCapacity } from "./engine_capacity.ts";
import { chooseLayout } from "./layer_layout.ts";
import type { EngineInfo, ModelShape } from "./types.ts";

/**
 * Engines of a group per engine in reserve. A reserve engine holds no layers
 * and can load those of a lost engine within a second; an engine that
 * replicates layers would have to release them first.
 */
const ENGINES_PER_RESERVE = 8;
/**
 * Minimum capacity, in concurrent answers, of an engine that takes over layers
 * of a lost one. Reduced concurrency is better than an outage of the layers
 * until the lost engine returns.
 */
const MIN_CONCURRENT_ANSWERS = 12;

/** Returns how many layers fit on a group with `tokens` of KV cache on each. */
export function maxGroupLayers(
  group: readonly EngineInfo[],
  model: ModelShape,
  tokens: number,
): number {
  return group.reduce(
    (sum, { memoryMb }) =>
      sum + maxLayersWithCapacity(model, { memoryMb, tokens }),
    0,
  );
}

/** Returns the tokens of `answers` answers of mean length, prompts included. */
export function tokensForAnswers(model: ModelShape, answers: number): number {
  return answers * (model.meanPromptTokens + model.meanAnswerTokens);
}

/** Returns the minimum KV cache capacity of an engine, in tokens. */
export function minCapacityTokens(model: ModelShape): number {
  return tokensForAnswers(model, MIN_CONCURRENT_ANSWERS);
}

/** Returns the KV cache capacity, in tokens, to plan for on each engine. */
export function targetCapacityTokens(
  group: readonly EngineInfo[],
  model: ModelShape,
): number {
  const layout = chooseLayout(group, model, {
    maxEngines: group.length - reserveCount(group),
    minKvTokens: minCapacityTokens(model),
    maxKvTokens: tokensForAnswers(model, model.maxConcurrentAnswers),
  });
  return layout?.tokens ?? minCapacityTokens(model);
}

/** Returns how many engines of a group stay without layers as a reserve. */
export function reserveCount(group: readonly EngineInfo[]): number {
  return Math.floor(group.length / ENGINES_PER_RESERVE);
}
