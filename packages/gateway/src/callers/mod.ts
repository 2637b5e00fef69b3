/** Accepts callers' requests and writes their answers. */
export * from "./caller_answer.ts";
export * from "./caller_call.ts";
export * from "./caller_listener.ts";
export * from "./handoff_headers.ts";
export * from "./request_body.ts";
export * from "./retry_schedules.ts";
export * from "./stream_pace.ts";
export * from "./warm_up.ts";
