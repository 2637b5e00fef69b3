/** Queueing and admission of requests that compete for capacity on engines. */
export * from "./admission_queue.ts";
export * from "./admission_queue_types.ts";
export * from "./admission_request.ts";
export * from "./class_demand.ts";
export * from "./class_levels.ts";
export * from "./fair_lane.ts";
export * from "./fair_queue.ts";
export * from "./retry_schedule.ts";
export * from "./returning_callers.ts";
export * from "./service_rate.ts";
