/** Metrics, readiness and the administration API for operators. */
export * from "./administration.ts";
export * from "./control_listener.ts";
export * from "./gateway_metrics.ts";
export * from "./input_counts.ts";
export * from "./release_history.ts";
