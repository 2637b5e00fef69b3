/** A small scenario language and its runner. */
export * from "./promises.ts";
export * from "./run_scenario.ts";
export * from "./scenario_schema.ts";
