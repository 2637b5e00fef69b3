/** Forwards streams over pipelines of engines and recovers broken ones. */
export * from "./domain_load_limits.ts";
export * from "./engine_usage.ts";
export * from "./forward_stream.ts";
export * from "./pipeline_router.ts";
export * from "./stall_detector.ts";
export * from "./usage_destinations.ts";
export * from "./usage_exchange.ts";
