/** What instances tell each other, and store, of prompts that end engines. */
import { z } from "zod";
import { ENDS_UNTIL_BLAME } from "./crash_ledger.ts";
import { MAX_PART_LENGTH, MAX_PARTS_OF_PROMPT } from "./shared_prompt.ts";

/** Reports the end of an engine to instances that decide who is to blame. */
export const END_METHOD = "prompts.engine_ended";
/** Puts a part of prompts into quarantine at all instances. */
export const QUARANTINE_METHOD = "prompts.quarantine";
/** Ends the quarantine of a part at all instances. */
export const RELEASE_METHOD = "prompts.release";

/** Bounds on what one message may hold. */
export const MAX_PROMPTS = 64;
const MAX_NAME_LENGTH = 256;
const MAX_ENGINES = 16;
const MAX_AGE_MS = 600_000;
const MAX_TIME_MS = 2 ** 42;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const partSchema = z.string().min(1).max(MAX_PART_LENGTH);
const ageSchema = z.number().min(0).max(MAX_AGE_MS);
const timeSchema = z.number().min(0).max(MAX_TIME_MS);

export const endMessageSchema = z.object({
  service: nameSchema,
  /** ID and start of the engine. */
  engine: nameSchema,
  /** Milliseconds since its end. */
  agoMs: ageSchema,
  /** Shared parts of each prompt that may have caused it. */
  prompts: z
    .array(z.array(partSchema).max(MAX_PARTS_OF_PROMPT))
    .max(MAX_PROMPTS),
});

/** A part in quarantine, as it is stored. */
export const quarantineObjectSchema = z.object({
  service: nameSchema,
  part: partSchema,
  /** Engines that have ended under it. */
  engines: z.array(nameSchema).min(ENDS_UNTIL_BLAME).max(MAX_ENGINES),
  /** Start of the quarantine, in Unix milliseconds. */
  since: timeSchema,
  /** Requests that were sent since, to find out whether it still holds. */
  trials: z.int().min(0),
  /** When the next one may be sent; `null` if an operator has to decide. */
  nextTrialAt: timeSchema.nullable(),
});

export const quarantineMessageSchema = z.object({
  quarantine: quarantineObjectSchema,
  /** Milliseconds since the first engine ended under it. */
  firstEndAgoMs: ageSchema,
});

/** Answer of an instance to a part that another one puts into quarantine. */
export const quarantineAnswerSchema = z.object({
  /** Whether a prompt with the part was answered after the first end. */
  isRefuted: z.boolean(),
});

export const releaseMessageSchema = z.object({
  service: nameSchema,
  part: partSchema,
});

export type QuarantineObject = z.infer<typeof quarantineObjectSchema>;

/** Engines of an object, of which there may be more than it can hold. */
export function boundedEngines(engines: readonly string[]): string[] {
  return engines.slice(0, MAX_ENGINES);
}
