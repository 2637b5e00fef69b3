/** Places layers on engines and routes answers through pipelines of engines. */
export * from "./engine_capacity.ts";
export * from "./layer_plan.ts";
export * from "./layer_planner.ts";
export { BACKLOG_COST_SHARE } from "./path_costs.ts";
export * from "./pipeline_path.ts";
export * from "./pipeline_search.ts";
export type { LayerOrder, PlannedEngine } from "./plan_draft.ts";
export { prefillMs } from "./stage_time.ts";
export * from "./types.ts";
