/** Routes requests to backend servers according to the configuration. */
export * from "./backend_server.ts";
export { createTimedConnector } from "./backends/mod.ts";
export * from "./configuration.ts";
export { withoutConnectionHeaders } from "./connection_headers.ts";
export { type Gateway, startGateway } from "./gateway.ts";
export { memoryBoundsOf } from "./memory_bounds.ts";
export * from "./platform.ts";
export * from "./protocol.ts";
export * from "./settings.ts";
export {
  createUnexpectedErrors,
  surviveUnexpectedErrors,
  type UnexpectedErrors,
} from "./unexpected_errors.ts";
