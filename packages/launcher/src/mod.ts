/** Starts a whole deployment of processes for demo, scenarios and bench. */
export * from "./caller.ts";
export * from "./deployment.ts";
export * from "./deployment_plan.ts";
export * from "./kanem.ts";
export * from "./links/links.ts";
export { PLATFORM } from "./links/relayed_plan.ts";
export * from "./process_group.ts";
