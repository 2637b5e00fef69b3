/** Orders engines to load the layers that the plan assigns to them. */
export * from "./placement_leases.ts";
export * from "./placement_loop.ts";
