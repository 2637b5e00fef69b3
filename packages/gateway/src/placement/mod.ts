/** Assigns model layers to engines. */
export * from "./placement_leases.ts";
export * from "./placement_loop.ts";
