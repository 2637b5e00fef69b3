/** Hands requests off to instances that reach the servers. */
export * from "./helper_instances.ts";
export * from "./request_handoff.ts";
