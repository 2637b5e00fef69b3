/** Membership of instances: liveness and a small shared state. */
export { type ByteBudget, createByteBudget } from "./byte_budget.ts";
export * from "./datagram_transport.ts";
export * from "./member_table.ts";
export * from "./membership.ts";
export * from "./peer_rpc.ts";
export { HEADER_BYTES, LARGEST_DATAGRAM_BYTES } from "./wire.ts";
