/** Limits of organisations that hold over all instances together. */
export * from "./home_choice.ts";
export * from "./limit_home.ts";
export * from "./limit_report.ts";
export * from "./limits_of.ts";
export * from "./organisation_limits.ts";
