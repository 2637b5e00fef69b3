/** Limits of organisations that are shared by all instances. */
export * from "./coordinator_choice.ts";
export * from "./limit_coordinator.ts";
export * from "./limit_report.ts";
export * from "./limits_lookup.ts";
export * from "./shared_limits.ts";
