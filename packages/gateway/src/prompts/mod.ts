/** Prompts in progress, and those that end the engines that run them. */
export * from "./running_prompts.ts";
