/** Queueing and admission of requests that compete for capacity on engines. */
export * from "./admission_request.ts";
export * from "./class_demand.ts";
export * from "./retry_schedule.ts";
export * from "./returning_callers.ts";
