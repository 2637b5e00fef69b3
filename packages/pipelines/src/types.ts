/** The properties of models and engines that planning and routing use. */

/** Half-open range of layers: `from` is included, `to` is not. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** A model, with its costs on an engine whose speed factors are 1. */
export interface ModelShape {
  readonly name: string;
  readonly layerCount: number;
  /** Weights of one layer, in megabytes. */
  readonly layerMb: number;
  /** KV cache of one token in one layer, in bytes. */
  readonly tokenLayerBytes: number;
  /** Duration of one decode step through all layers, in milliseconds. */
  readonly stepMs: number;
  /** Prefill rate through all layers, in prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Mean prompt length, in tokens. */
  readonly meanPromptTokens: number;
  /** Mean number of generated tokens per answer. */
  readonly meanAnswerTokens: number;
  /** Maximum number of concurrent answers on an engine as first stage. */
  readonly maxConcurrentAnswers: number;
  /**
   * Time that the activations of one token take on the link between two failure
   * domains, which all pipelines share, in milliseconds. Absent if not known.
   */
  readonly linkTokenMs?: number;
}

/** An engine's location, memory, speed and layers. */
export interface EngineInfo {
  readonly id: string;
  readonly failureDomain: string;
  readonly memoryMb: number;
  /** Duration of a decode step relative to an engine with factor 1. */
  readonly stepFactor: number;
  /** Duration of prefill relative to an engine with factor 1. */
  readonly prefillFactor: number;
  /**
   * Layers in the engine's memory, or those of the last order to it; `null` if
   * there are none.
   */
  readonly held: LayerRange | null;
}

/** Returns the number of layers in a range. */
export function layersIn({ from, to }: LayerRange): number {
  return to - from;
}
