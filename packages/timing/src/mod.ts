/** Pauses by the runtime's clock. */
export * from "./pause.ts";
