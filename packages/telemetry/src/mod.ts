/** Structured logs and metrics. */
export * from "./event_catalogue.ts";
export * from "./line_writer.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./service_levels.ts";
