/** Finds and prices single pipelines of engines for answers. */
import {
  BACKLOG_COST_SHARE,
  crossingCostMs,
  loadedLayerMs,
  NEAR_ENTRY_COST_MS,
} from "./path_costs.ts";
import { createPipelineSearch, type Pipeline } from "./pipeline_search.ts";
import { idleLayerMs } from "./stage_time.ts";
import {
  type EngineInfo,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/** An engine that may serve as a stage. */
export interface StageCandidate extends EngineInfo {
  readonly held: LayerRange;
  /** Share of the KV cache that answers in progress use; may exceed 1. */
  readonly load: number;
  /** Prefill time of the prompt tokens in its backlog, in milliseconds. */
  readonly backlogMs: number;
}

export interface PathOptions {
  readonly model: ModelShape;
  /** Failure domain in which the pipeline should preferably start. */
  readonly failureDomain: string;
  /** Layers that the pipeline must run; all layers by default. */
  readonly range?: LayerRange;
}

/**
 * Returns the cheapest pipeline found, or `null` if there is none, such as when
 * no candidate holds one of the layers. For repeated searches among the same
 * engines, `createPipelineSearch` takes less time.
 */
export function findPipeline(
  candidates: readonly StageCandidate[],
  options: PathOptions,
): Pipeline | null {
  const search = createPipelineSearch(candidates, options);
  candidates.forEach(({ load, backlogMs }, index) => {
    search.isUsable[index] = 1;
    search.loads[index] = load;
    search.backlogsMs[index] = backlogMs;
  });
  return search.find(options.range);
}

/** Returns the cost of the given stages, in milliseconds per token. */
export function pipelineCost(
  stages: readonly {
    readonly engine: StageCandidate;
    readonly range: LayerRange;
  }[],
  { model, failureDomain }: PathOptions,
): number {
  let previousDomain = failureDomain;
  return stages.reduce((sum, { engine, range }, index) => {
    const crosses = engine.failureDomain !== previousDomain;
    const entryMs =
      engine.backlogMs * BACKLOG_COST_SHARE +
      (crosses ? crossingCostMs(index === 0) : NEAR_ENTRY_COST_MS);
    previousDomain = engine.failureDomain;
    const layerMs = loadedLayerMs(
      idleLayerMs(model, engine),
      engine.load,
      layersIn(engine.held) / model.layerCount,
    );
    return sum + entryMs + layerMs * layersIn(range);
  }, 0);
}
