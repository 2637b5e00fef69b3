/** Schemas of everything that crosses a boundary; all types come from them. */
export * from "./admin.ts";
export * from "./catalogue.ts";
export * from "./completion.ts";
export * from "./engine.ts";
export * from "./names.ts";
export * from "./note_exchange.ts";
export * from "./outcome.ts";
export * from "./peer.ts";
export * from "./peer_datagram.ts";
export * from "./release_note.ts";
export * from "./request_record.ts";
export * from "./service_levels.ts";
export * from "./settings.ts";
export * from "./settings_checks.ts";
export * from "./settings_file.ts";
export * from "./stored.ts";
