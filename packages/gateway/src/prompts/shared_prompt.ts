/** The part of a call's prompt that other calls may share. */
import type { CallerCall } from "../callers/mod.ts";

/** Bounds on what is kept of a prompt, whose parts its caller names. */
export const MAX_PARTS_OF_PROMPT = 32;
export const MAX_PART_LENGTH = 128;

export interface SharedPrompt {
  readonly service: string;
  /** IDs of its parts, from the most general to the most specific one. */
  readonly parts: readonly string[];
}

export function sharedPromptOf({
  service,
  metadata,
}: Pick<CallerCall, "service" | "metadata">): SharedPrompt {
  const parts = metadata.sharedPromptParts
    .filter((part) => part.length <= MAX_PART_LENGTH)
    .slice(0, MAX_PARTS_OF_PROMPT);
  return { service: service.name, parts };
}
