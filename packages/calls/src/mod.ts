/** Handling of one call or streamed answer, from admission to its result. */
export * from "./answer.ts";
export * from "./answer_event.ts";
export * from "./answer_link_speeds.ts";
export * from "./answer_liveness.ts";
export * from "./answer_migration.ts";
export * from "./answer_recovery_limiter.ts";
export * from "./answer_resume.ts";
export * from "./call_failure.ts";
export * from "./claim_key.ts";
export * from "./claim_owners.ts";
export * from "./claim_registry.ts";
export * from "./claim_store.ts";
export * from "./claim_sweeper.ts";
export * from "./object_claim_store.ts";
export * from "./result_recorder.ts";
export * from "./service_call.ts";
export * from "./service_context.ts";
