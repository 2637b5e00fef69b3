/** The life of a release note: check, publish, spread, apply, confirm. */
export * from "./allowed.ts";
export * from "./confirmations.ts";
export * from "./fold.ts";
export * from "./note_keeper.ts";
export * from "./publisher.ts";
