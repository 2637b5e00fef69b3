/** Clients of engines and of plain services. */
export * from "./engine_client.ts";
export * from "./engine_fleet.ts";
export * from "./service_client.ts";
export * from "./transport_failure.ts";
