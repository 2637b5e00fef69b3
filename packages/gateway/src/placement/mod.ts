/** Orders engines to hold layers. */
export * from "./ordering_right.ts";
export * from "./placement_loop.ts";
