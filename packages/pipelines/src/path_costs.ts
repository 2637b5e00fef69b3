/** Costs of the edges of a pipeline search, in milliseconds per token. */
import { STAGE_OVERHEAD_MS } from "./stage_time.ts";

/**
 * Cost of a hop between failure domains, in milliseconds per token. The hop
 * itself takes a quarter of a millisecond; the cost is higher because it sends
 * the activations of every token over a link that all pipelines share.
 */
const DOMAIN_CROSSING_COST_MS = 8;
/**
 * Cost of a first stage in another failure domain, in milliseconds per token.
 * Only text of the prompt and the answer crosses the link, but without this
 * cost all instances would prefer the domain with the fastest engines and
 * saturate it before the others.
 */
const REMOTE_START_COST_MS = 4;
/**
 * Share of an engine's prefill backlog that is added to the cost per token. The
 * backlog delays only the first token, which callers wait for, and the backlogs
 * of the stages of a pipeline are in part processed in parallel.
 */
export const BACKLOG_COST_SHARE = 1 / 150;
/** Load above which the cost of an engine is multiplied. */
const SATURATED_LOAD = 0.9;
const SATURATION_COST_FACTOR = 20;

/** Cost of a hop to an engine of the failure domain of the stage before. */
export const NEAR_ENTRY_COST_MS = STAGE_OVERHEAD_MS;

/** Returns the cost of a hop to an engine of another failure domain. */
export function crossingCostMs(isFirst: boolean): number {
  return (
    STAGE_OVERHEAD_MS +
    (isFirst ? REMOTE_START_COST_MS : DOMAIN_CROSSING_COST_MS)
  );
}

/**
 * Returns the cost of one layer under the engine's load. `layerShare` is the
 * share of the model's layers that the engine holds.
 */
export function loadedLayerMs(
  idleMs: number,
  load: number,
  layerShare: number,
): number {
  const loadFactor = 1 + load * (1 + layerShare);
  return load > SATURATED_LOAD
    ? idleMs * loadFactor * SATURATION_COST_FACTOR
    : idleMs * loadFactor;
}
