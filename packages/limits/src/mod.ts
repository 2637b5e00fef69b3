/** Limits that all instances share: of organisations, and of retries. */
export * from "./coordinator_choice.ts";
export * from "./limit_coordinator.ts";
export * from "./limit_report.ts";
export * from "./limits_lookup.ts";
export * from "./retry_budget.ts";
export * from "./shared_limits.ts";
