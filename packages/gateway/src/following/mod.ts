/** Replicates store objects to each instance and tracks live instances. */
export * from "./configuration_keeper.ts";
export { createFleetShare } from "./fleet_share.ts";
export type { LiveInstance } from "./live_instances.ts";
export * from "./occasional_log.ts";
export { type Presence, startPresence } from "./presence.ts";
export type { DomainInstance } from "./relay_choice.ts";
export * from "./store_following.ts";
