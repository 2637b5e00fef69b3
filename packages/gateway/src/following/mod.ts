/** Follows the store, by itself or through others, and knows the instances. */
export * from "./change_relay.ts";
export * from "./configuration_keeper.ts";
export * from "./object_mirror.ts";
export * from "./peer_news.ts";
export * from "./presence.ts";
export * from "./relay_choice.ts";
export * from "./relay_follower.ts";
