/** Delays based on the runtime's timers. */
export * from "./abort_at.ts";
export * from "./deferred.ts";
export * from "./interruptible_timer.ts";
export * from "./patient_timeout.ts";
export * from "./pause.ts";
export * from "./with_timeout.ts";
