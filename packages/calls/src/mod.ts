/** One call from admission to its final answer. */
export * from "./answer.ts";
export * from "./call_failure.ts";
export * from "./claims.ts";
export * from "./service_call.ts";
