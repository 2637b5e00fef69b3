/** Admission control, queueing, and selection of pipelines and servers. */
export * from "./admission.ts";
export * from "./engine_window.ts";
export * from "./engine_windows.ts";
export * from "./pipeline_choice.ts";
export * from "./router.ts";
export * from "./server_choice.ts";
