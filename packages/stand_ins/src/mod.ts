/** Stand-ins of what surrounds rosemarypin, for tests, demo and bench. */
export * from "./balancer.ts";
export * from "./engine/cache_export.ts";
export * from "./engine/engine.ts";
export * from "./engine/engine_group.ts";
export * from "./engine/engine_link.ts";
export * from "./engine/layer_math.ts";
export * from "./engine/run_journal.ts";
export * from "./engine/speed.ts";
export * from "./engine/step.ts";
export * from "./instance_list.ts";
export * from "./plain_service.ts";
export * from "./stand_in_settings.ts";
export * from "./weight_store.ts";
