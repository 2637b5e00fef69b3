/**
 * The arithmetic of the stand-in's layers. Each layer mixes its input, its
 * own index and all it saw before (its KV cache) into its output, so a layer
 * that is skipped, run twice, run out of order, run with another version or
 * with a wrong KV cache changes every later token of the answer.
 */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Mean number of tokens after which an answer ends by itself. */
const STOP_EVERY = 199;
const WORD_COUNT = 4_096;

/** What the layers of a version are computed with. */
export interface LayerWeights {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string | undefined;
}

/** KV cache of a range of layers: one running value for each layer. */
export type LayerCache = number[];

/** The first layer's input at one position. */
export function embed(token: string, position: number): number {
  return h32(token, position);
}

/** Runs layers `from` to `to` on one input; changes `cache`. */
export function runLayers(
  input: number,
  options: {
    readonly weights: LayerWeights;
    readonly from: number;
    readonly to: number;
    readonly cache: LayerCache;
  },
): number {
  const { weights, from, to, cache } = options;
  const name = `${weights.model}/${weights.version}/${weights.adapter ?? ""}`;
  let state = input;
  for (let layer = from; layer < to; layer++) {
    const seen = cache[layer - from] ?? 0;
    const mixed = h32(`${name}:${layer}:${seen}`, state);
    cache[layer - from] = mixed;
    state = mixed;
  }
  return state;
}

/** The token that the last layer's output stands for. */
export function sample(output: number): {
  readonly text: string;
  readonly isStop: boolean;
} {
  const word = (output % WORD_COUNT).toString(36).padStart(3, "0");
  return { text: `w${word}`, isStop: output % STOP_EVERY === 0 };
}

/** Adds one token's output to the digest of the answer so far. */
export function extendDigest(digest: string, output: number): string {
  return h32(`${digest}:${output}`).toString(16).padStart(8, "0");
}

/** A whole answer as it must come out, whatever failed on the way. */
export interface ExpectedAnswer {
  readonly tokens: readonly string[];
  readonly digest: string;
  readonly reason: "stop" | "length";
}

/** Computes an answer in one place, without engines. */
export function expectedAnswer(options: {
  readonly weights: LayerWeights;
  readonly layers: number;
  readonly promptTokens: readonly string[];
  readonly maxTokens: number;
}): ExpectedAnswer {
  const { weights, layers, promptTokens, maxTokens } = options;
  const cache: LayerCache = [];
  const run = (token: string, position: number) =>
    runLayers(embed(token, position), { weights, from: 0, to: layers, cache });
  let output = 0;
  promptTokens.forEach((token, position) => {
    output = run(token, position);
  });
  const tokens: string[] = [];
  let digest = "";
  while (true) {
    const { text, isStop } = sample(output);
    digest = extendDigest(digest, output);
    tokens.push(text);
    if (isStop) return { tokens, digest, reason: "stop" };
    if (tokens.length >= maxTokens) return { tokens, digest, reason: "length" };
    output = run(text, promptTokens.length + tokens.length - 1);
  }
}
