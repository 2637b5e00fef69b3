/** Delays based on the runtime's timers. */
export * from "./alarm.ts";
export * from "./pause.ts";
