/** HTTP servers for callers, and how their connections are closed. */
export * from "./body_buffer.ts";
export * from "./caller_memory.ts";
export * from "./caller_server.ts";
export * from "./close_cause.ts";
