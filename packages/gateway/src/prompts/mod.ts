/** Prompts in progress, and those that end the engines that run them. */
export * from "./prompt_quarantine.ts";
export * from "./quarantine_peers.ts";
export * from "./running_prompts.ts";
export * from "./shared_prompt.ts";
