/** Connections of callers. */
export * from "./body_buffer.ts";
export * from "./caller_memory.ts";
export * from "./caller_server.ts";
export * from "./close_cause.ts";
export * from "./paced_reading.ts";
export * from "./plain_pacing.ts";
