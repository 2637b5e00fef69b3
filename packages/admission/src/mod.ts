/** Queueing and admission of requests that compete for capacity on engines. */
export * from "./admission_request.ts";
export * from "./class_demand.ts";
export * from "./class_levels.ts";
