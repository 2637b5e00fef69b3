/** Who holds which layers, and which engines an answer passes through. */
export * from "./engine_capacity.ts";
export * from "./layer_plan.ts";
export * from "./layer_planner.ts";
export * from "./pipeline_path.ts";
export type { LayerOrder, PlannedEngine } from "./plan_draft.ts";
export { readMs } from "./stage_time.ts";
export * from "./types.ts";
