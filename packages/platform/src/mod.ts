/** Clients of what the platform gives. */
export * from "./http_object_store.ts";
export * from "./instance_list.ts";
export * from "./object_store.ts";
