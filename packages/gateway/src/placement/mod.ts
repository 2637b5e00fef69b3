/** Orders engines to load the layers that the plan assigns to them. */
export { HOLDS_LEASE_METHOD } from "./outage_orders.ts";
export * from "./placement_leases.ts";
export * from "./placement_loop.ts";
