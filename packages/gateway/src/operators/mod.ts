/** What operators see. */
export * from "./administration.ts";
export * from "./control_listener.ts";
export * from "./gateway_metrics.ts";
export * from "./release_history.ts";
