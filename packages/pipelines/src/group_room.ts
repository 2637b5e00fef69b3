/** Room for answers that a group of engines is planned with. */
import { layersWithRoom } from "./engine_capacity.ts";
import type { EngineFacts, ModelShape } from "./types.ts";

/**
 * Answers of usual size for which each stage keeps room. 45 answers a second
 * of 946 tokens that last 2 to 4 s have 85,000 to 170,000 tokens in use; with
 * 110, three domains have room for 312,000. With 64, 171 of 1,243 answers were
 * preempted on a quiet day, with 110 none.
 */
const ROOMY_ANSWERS = 110;
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

/** The most room, up to the wanted one, with which the group holds all. */
export function roomOfGroup(
  group: readonly EngineFacts[],
  model: ModelShape,
): number {
  for (let answers = ROOMY_ANSWERS; answers > TIGHT_ANSWERS; answers -= 2) {
    const tokens = tokensOf(model, answers);
    if (groupLayers(group, model, tokens) >= model.layerCount) return tokens;
  }
  return tokensOf(model, TIGHT_ANSWERS);
}
