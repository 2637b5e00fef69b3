/** State of the backend servers, and the connections to them. */
export { endlessAnswerError, isMalformedAnswer } from "./answer_bounds.ts";
export * from "./backend_exchange.ts";
export * from "./backend_fleet.ts";
export * from "./connection_check.ts";
export * from "./peer_restrictions.ts";
export type { Reachability } from "./reachability.ts";
export * from "./request_limits.ts";
export * from "./requested_backoffs.ts";
export * from "./server_entries.ts";
export * from "./timed_connector.ts";
