/** One answer's place on one engine. */
import type {
  AttemptRequest,
  CacheSource,
  EngineEvent,
  LayerRange,
} from "@rosemarypin/schemas";
import {
  embed,
  extendDigest,
  type LayerCache,
  type LayerWeights,
  runLayers,
  sample,
} from "./layer_math.ts";
import type { ReturnMessage } from "./step.ts";

/** Takes an event; resolves when the reader has room for the next. */
export type Emit = (event: EngineEvent) => Promise<void> | null;

/** A sequence with its KV cache; `emit` is set on the first stage only. */
export interface Sequence {
  readonly request: AttemptRequest;
  readonly stage: number;
  /** KV cache: what the layers held after each position. */
  readonly cache: LayerCache[];
  /** Digest after each token; kept on the last stage. */
  readonly digests: string[];
  /** Tokens that were emitted, from index 0; kept on the first stage. */
  readonly tokens: string[];
  /** Digest after the last of them; kept on the first stage. */
  lastDigest: string;
  readonly emit: Emit | null;
  /** Where the KV cache has to come from before anything can run. */
  readonly importFrom: CacheSource | null;
  /** Where it came from, until the first run after that is journaled. */
  imported: ImportedCache | null;
}

/** Origin of an imported KV cache. */
export interface ImportedCache {
  readonly engine: string;
  readonly incarnation: number | undefined;
  readonly positions: number;
}

/** The position from which a stage must get inputs. */
export function startPosition(request: AttemptRequest, stage: number): number {
  const kept = request.stages
    .slice(stage)
    .map(({ keptPositions }) => keptPositions ?? 0);
  return Math.min(...kept);
}

/** The position that comes next; anything else is a repeat or a gap. */
export function nextPosition(sequence: Sequence): number {
  return sequence.cache.length;
}

/**
 * Opens a sequence. It takes over the KV cache of an earlier attempt of the
 * same request up to the position where this attempt starts; `null` when the
 * cache that the attempt counts on is not there. One that has to be imported
 * opens empty: no step fits it until the import is done, and a later attempt
 * that counts on it finds too little.
 */
export function openSequence(
  request: AttemptRequest,
  options: {
    readonly stage: number;
    readonly emit: Emit | null;
    readonly earlier: Sequence | undefined;
  },
): Sequence | null {
  const { stage, emit, earlier } = options;
  const start = startPosition(request, stage);
  const layers = request.stages[stage]?.layers;
  const usable =
    earlier && layers && hasSameLayers(earlier, { ...request, layers })
      ? earlier
      : null;
  const hasCache = start <= (usable?.cache.length ?? 0);
  const importFrom = request.stages[stage]?.importFrom ?? null;
  if (!hasCache && !importFrom) return null;
  const tokenCount = Math.max(0, start - request.promptTokens.length + 1);
  return {
    request,
    stage,
    emit,
    cache: (hasCache && usable?.cache.slice(0, start)) || [],
    digests: (hasCache && usable?.digests.slice(0, tokenCount)) || [],
    tokens: [...request.deliveredTokens],
    lastDigest: usable?.lastDigest ?? "",
    importFrom: hasCache ? null : importFrom,
    imported: (hasCache && usable?.imported) || null,
  };
}

/**
 * A KV cache belongs to one version, adapter and layer range: nothing of a
 * withdrawn batch may go into an answer of another.
 */
export function hasSameLayers(
  earlier: Sequence,
  wanted: LayerWeights & { readonly layers: LayerRange },
): boolean {
  const old = earlier.request;
  const oldLayers = old.stages[earlier.stage]?.layers;
  return (
    old.model === wanted.model &&
    old.version === wanted.version &&
    old.adapter === wanted.adapter &&
    oldLayers?.from === wanted.layers.from &&
    oldLayers?.to === wanted.layers.to
  );
}

/** Inputs of the first stage: the prompt, then what was delivered before. */
export function firstInputs(request: AttemptRequest): number[] {
  const start = startPosition(request, 0);
  const words = [...request.promptTokens, ...request.deliveredTokens];
  return words.map(embed).slice(start);
}

/** Runs the stage's layers on inputs that follow what it has seen. */
export function runStage(
  sequence: Sequence,
  inputs: readonly number[],
): number[] {
  const { request, stage } = sequence;
  const layers = request.stages[stage]?.layers ?? { from: 0, to: 0 };
  return inputs.map((input) => {
    const cache = [...(sequence.cache.at(-1) ?? [])];
    const output = runLayers(input, { weights: request, ...layers, cache });
    sequence.cache.push(cache);
    return output;
  });
}

/**
 * Turns the last stage's outputs into a token. Outputs at the positions of
 * tokens that were delivered before only rebuild the digest.
 */
export function takeOutputs(
  sequence: Sequence,
  outputs: readonly number[],
): ReturnMessage["result"] | null {
  const { request, digests } = sequence;
  const firstPosition = nextPosition(sequence) - outputs.length;
  let result: ReturnMessage["result"] | null = null;
  outputs.forEach((output, offset) => {
    const position = firstPosition + offset;
    if (position < request.promptTokens.length - 1) return;
    const index = digests.length;
    const digest = extendDigest(digests.at(-1) ?? "", output);
    digests.push(digest);
    if (index < request.deliveredTokens.length) return;
    result = { kind: "token", index, digest, ...sample(output) };
  });
  return result;
}
