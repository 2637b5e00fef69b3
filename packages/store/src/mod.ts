/** Clients of the platform's object API, instance list and weight store. */
export type { CallUrgency } from "./call_budget.ts";
export * from "./counted_object_store.ts";
export * from "./follow_objects.ts";
export * from "./full_jitter.ts";
export * from "./guarded_object_store.ts";
export * from "./instance_list.ts";
export * from "./object_store.ts";
export * from "./store_times.ts";
export * from "./weight_loader.ts";
export * from "./weight_store.ts";
