/** Forwards calls that have one whole answer. */
export * from "./forward_plain.ts";
export * from "./server_choice.ts";
