/** What the decisions on layers and pipelines know of models and engines. */

/** Layers from `from` up to, but without, `to`. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** A model and its costs on an engine with factors of 1. */
export interface ModelShape {
  readonly name: string;
  readonly layerCount: number;
  /** Weights of one layer, in megabytes. */
  readonly layerMb: number;
  /** KV cache of one token in one layer, in bytes. */
  readonly tokenLayerBytes: number;
  /** One step of generation through all layers, in milliseconds. */
  readonly stepMs: number;
  /** Prompt tokens read in a millisecond, through all layers. */
  readonly readTokensPerMs: number;
  /** Mean number of prompt tokens. */
  readonly usualPromptTokens: number;
  /** Mean number of generated tokens. */
  readonly usualAnswerTokens: number;
  /** Answers that an engine takes at once as the first stage. */
  readonly mostAnswers: number;
}

/** An engine as the decisions see it. */
export interface EngineFacts {
  readonly id: string;
  readonly failureDomain: string;
  readonly memoryMb: number;
  /** How much longer a step takes than on an engine with factor 1. */
  readonly stepFactor: number;
  /** How much longer reading a prompt takes than with factor 1. */
  readonly readFactor: number;
  /** Layers that it holds, or was ordered to hold; `null` for none. */
  readonly held: LayerRange | null;
}

/** Number of layers in a range. */
export function layersIn({ from, to }: LayerRange): number {
  return to - from;
}
