/** One call from admission to its final answer. */
export * from "./answer.ts";
export * from "./answer_event.ts";
export * from "./answer_liveness.ts";
export * from "./answer_recovery.ts";
export * from "./answer_resume.ts";
export * from "./call_failure.ts";
export * from "./claims.ts";
export * from "./service_call.ts";
