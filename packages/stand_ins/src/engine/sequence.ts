/** One answer's place on one engine. */
import type { AttemptRequest, EngineEvent } from "@rosemarypin/schemas";
import {
  embed,
  extendDigest,
  type LayerCache,
  runLayers,
  sample,
} from "./layer_math.ts";
import type { ReturnMessage } from "./step.ts";

/** A sequence with its KV cache; `emit` is set on the first stage only. */
export interface Sequence {
  readonly request: AttemptRequest;
  readonly stage: number;
  readonly cache: LayerCache;
  /** Position that comes next; anything else is a repeat or a gap. */
  nextPosition: number;
  /** Digest over the tokens so far; kept on the last stage. */
  digest: string;
  /** Index of the next token; kept on the last stage. */
  nextIndex: number;
  readonly emit: ((event: EngineEvent) => void) | null;
}

/** Opens a sequence with an empty cache. */
export function openSequence(
  request: AttemptRequest,
  options: {
    readonly stage: number;
    readonly emit: ((event: EngineEvent) => void) | null;
  },
): Sequence {
  return {
    request,
    ...options,
    cache: [],
    nextPosition: 0,
    digest: "",
    nextIndex: 0,
  };
}

/** Inputs of the first stage: the prompt, then what was delivered before. */
export function firstInputs(request: AttemptRequest): number[] {
  return [...request.promptTokens, ...request.deliveredTokens].map(embed);
}

/** Runs the stage's layers on inputs that follow what it has seen. */
export function runStage(
  sequence: Sequence,
  inputs: readonly number[],
): number[] {
  const { request, stage, cache } = sequence;
  const layers = request.stages[stage]?.layers ?? { from: 0, to: 0 };
  sequence.nextPosition += inputs.length;
  return inputs.map((input) =>
    runLayers(input, { weights: request, ...layers, cache }),
  );
}

/**
 * Turns the last stage's outputs into a token. Outputs at the positions of
 * tokens that were delivered before only rebuild the digest.
 */
export function takeOutputs(
  sequence: Sequence,
  outputs: readonly number[],
): ReturnMessage["result"] | null {
  const { request } = sequence;
  const firstPosition = sequence.nextPosition - outputs.length;
  let result: ReturnMessage["result"] | null = null;
  outputs.forEach((output, offset) => {
    const position = firstPosition + offset;
    if (position < request.promptTokens.length - 1) return;
    const index = sequence.nextIndex;
    sequence.nextIndex += 1;
    sequence.digest = extendDigest(sequence.digest, output);
    if (index < request.deliveredTokens.length) return;
    const { digest } = sequence;
    result = { kind: "token", index, digest, ...sample(output) };
  });
  return result;
}
