/** The callers' interface: OpenAI-style completions. */
import { z } from "zod";
import { nameSchema } from "./names.ts";

export const chatMessageSchema = z.object({
  role: z.enum(["system", "user", "assistant"]),
  content: z.string(),
});

const commonShape = {
  model: nameSchema,
  /** Name of an adapter that the note allows for the model. */
  adapter: nameSchema.optional(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(4096).default(128),
};

/** Most messages in one request. */
export const LARGEST_MESSAGE_COUNT = 256;

export const chatRequestSchema = z.object({
  ...commonShape,
  messages: z.array(chatMessageSchema).min(1).max(LARGEST_MESSAGE_COUNT),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

export const completionRequestSchema = z.object({
  ...commonShape,
  prompt: z.string().min(1),
});
export type CompletionRequest = z.infer<typeof completionRequestSchema>;

/** Priority classes, the most urgent first. */
export const prioritySchema = z.enum(["interactive", "standard", "batch"]);
export type Priority = z.infer<typeof prioritySchema>;

/** An answer request in the form the rest of the daemon uses. */
export interface AnswerRequest {
  readonly requestId: string;
  readonly organisation: string;
  /** Share of the organisation relative to others; 1 if left out. */
  readonly weight?: number | undefined;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Words of the prompt; one word counts as one token. */
  readonly promptTokens: readonly string[];
  readonly maxTokens: number;
  readonly priority: Priority;
  /** When the caller stops waiting, in milliseconds since the epoch. */
  readonly deadlineAt: number;
}

/** Facts about an answer that a caller may check. */
export const answerProvenanceSchema = z.object({
  version: z.string(),
  noteNumber: z.number().int(),
  /** Digest over each layer of each token, in order; see the engine API. */
  digest: z.string(),
  attempts: z.number().int(),
});
export type AnswerProvenance = z.infer<typeof answerProvenanceSchema>;
