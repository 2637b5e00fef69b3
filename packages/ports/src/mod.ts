/** Ports on loopback for processes that a program starts. */
export * from "./port_claims.ts";
