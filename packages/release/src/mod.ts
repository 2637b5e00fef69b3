/** The life of a release note: check, publish, spread, apply, confirm. */
export * from "./answer_permission.ts";
export * from "./confirmations.ts";
export * from "./explain.ts";
export * from "./merge_note.ts";
export * from "./moment.ts";
export * from "./note_check.ts";
export * from "./note_diff.ts";
export * from "./note_history.ts";
export * from "./note_keeper.ts";
export * from "./publisher.ts";
export * from "./refresh_roles.ts";
export * from "./registration.ts";
export * from "./status_collector.ts";
