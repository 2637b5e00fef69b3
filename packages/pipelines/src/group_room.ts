/** Room for answers that a group of engines is planned with. */
import { layersWithRoom } from "./engine_capacity.ts";
import { chooseLayout } from "./layer_layout.ts";
import type { EngineFacts, ModelShape } from "./types.ts";

/**
 * One empty engine is kept for so many others. It takes the layers of any
 * lost one within a second; one that doubles layers can't, as it would have
 * to give them up first.
 */
const ENGINES_PER_RESERVE = 8;
/**
 * Room that an engine keeps when it takes over layers of a lost one. Fewer
 * answers at once are better than none until the lost engine is back.
 */
const TIGHT_ANSWERS = 12;

/** Layers that a group holds with room for so many tokens on each engine. */
export function groupLayers(
  group: readonly EngineFacts[],
  model: ModelShape,
  tokens: number,
): number {
  return group.reduce(
    (sum, { memoryMb }) => sum + layersWithRoom(model, { memoryMb, tokens }),
    0,
  );
}

/** Tokens of so many answers of usual size. */
export function tokensOf(model: ModelShape, answers: number): number {
  return answers * (model.usualPromptTokens + model.usualAnswerTokens);
}

/** Room that an engine keeps at least, in tokens. */
export function tightRoom(model: ModelShape): number {
  return tokensOf(model, TIGHT_ANSWERS);
}

/** Room with which a group of engines is planned, in tokens. */
export function roomOfGroup(
  group: readonly EngineFacts[],
  model: ModelShape,
): number {
  const layout = chooseLayout(group, model, {
    mostEngines: group.length - reserveOf(group),
    leastTokens: tightRoom(model),
    mostTokens: tokensOf(model, model.mostAnswers),
  });
  return layout?.tokens ?? tightRoom(model);
}

/** Engines of a group that are left empty, to take any lost one's place. */
export function reserveOf(group: readonly EngineFacts[]): number {
  return Math.floor(group.length / ENGINES_PER_RESERVE);
}
