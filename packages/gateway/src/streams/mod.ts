/** Forwards streams over pipelines of engines and recovers broken ones. */
export * from "./admission.ts";
export * from "./admission_queues.ts";
export * from "./demand_board.ts";
export * from "./domain_load_limits.ts";
export * from "./engine_usage.ts";
export * from "./forward_stream.ts";
export * from "./model_class_levels.ts";
export * from "./pipeline_router.ts";
export * from "./stall_detector.ts";
export type { StreamParts } from "./stream_run.ts";
export * from "./usage_destinations.ts";
export * from "./usage_exchange.ts";
