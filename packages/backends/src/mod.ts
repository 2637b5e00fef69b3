/** Clients of engines and plain services, and the health of both. */
export * from "./answer_end.ts";
export * from "./engine_client.ts";
export * from "./engine_fleet.ts";
export * from "./engine_subset.ts";
export * from "./leaving_servers.ts";
export * from "./read_interval.ts";
export * from "./reset_guard.ts";
export * from "./server_health.ts";
export * from "./service_client.ts";
export * from "./service_fleet.ts";
export * from "./transport_failure.ts";
