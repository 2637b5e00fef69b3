/** Shared parts of forwarding plain calls and streams. */
export * from "./answer_buffers.ts";
export * from "./backend_request.ts";
export * from "./forwarding_parts.ts";
