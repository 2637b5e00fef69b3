/** Plans which layers each engine holds, and sends the orders. */
export * from "./control_candidates.ts";
export * from "./control_lease.ts";
export * from "./engine_controller.ts";
export * from "./engine_kinds.ts";
export * from "./fencing_number.ts";
export * from "./layer_split.ts";
export * from "./placer.ts";
export * from "./plan.ts";
export * from "./plan_types.ts";
export * from "./wanted_layers.ts";
