/** Admission, queueing and choice of pipeline or server. */
export * from "./pipeline_choice.ts";
export * from "./router.ts";
export * from "./server_choice.ts";
