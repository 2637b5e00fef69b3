/** Forwards requests whose answers are passed on whole, without streaming. */
export * from "./forward_plain.ts";
export * from "./server_choice.ts";
