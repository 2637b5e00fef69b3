/** Which instances are alive, and the small state they share. */
export * from "./member_table.ts";
export * from "./membership.ts";
export * from "./peer_rpc.ts";
