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
  const { answer } = observed;
  if (answer.kind === "whole") return answer.provenance.version === version;
  const { tokens } = answer;
  // Versions rarely agree in the first token, and all tokens take much longer.
  return [1, tokens.length].every(
    (count) =>
      tokens.length > 0 && startsAs(observed, { version, count, seen }),
  );
}

function startsAs(
  { answer, prompt }: ObservedAnswer,
  options: {
    readonly version: string;
    /** How many tokens are compared. */
    readonly count: number;
    readonly seen: Observations;
  },
): boolean {
  const { version, count, seen } = options;
  const { tokens } = expectedAnswer({
    weights: { model: seen.model, version },
    layers: seen.layers,
    promptTokens: prompt.split(" "),
    maxTokens: count,
  });
  return answer.tokens
    .slice(0, count)
    .every((token, index) => token === tokens[index]);
}
