/** Compares answers with what the layers of a version must give. */
import { expectedAnswer } from "@rosemarypin/stand_ins";
import type { Observations, ObservedAnswer } from "./observations.ts";

/** Whether an answer is whole, in order and of all layers. */
export function isTrue(observed: ObservedAnswer, seen: Observations): boolean {
  const { answer, prompt, maxTokens } = observed;
  if (answer.kind !== "whole") return false;
  const { version, digest } = answer.provenance;
  const expected = expectedAnswer({
    weights: { model: seen.model, version },
    layers: seen.layers,
    promptTokens: prompt.split(" "),
    maxTokens,
  });
  const isSame = answer.tokens.join(" ") === expected.tokens.join(" ");
  return isSame && digest === expected.digest;
}

/**
 * Whether an answer is of a version. One that was cut does not name its
 * version, so its tokens are compared with those that the version gives.
 */
export function isFrom(
  observed: ObservedAnswer,
  version: string,
  seen: Observations,
): boolean {
  const { answer, prompt, maxTokens } = observed;
  if (answer.kind === "whole") return answer.provenance.version === version;
  if (answer.tokens.length === 0) return false;
  const expected = expectedAnswer({
    weights: { model: seen.model, version },
    layers: seen.layers,
    promptTokens: prompt.split(" "),
    maxTokens,
  });
  return answer.tokens.every(
    (token, index) => token === expected.tokens[index],
  );
}
