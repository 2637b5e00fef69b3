/** The API for callers: completions in the style of OpenAI. */
import { z } from "zod";
import { nameSchema } from "./names.ts";

export const chatMessageSchema = z.object({
  role: z.enum(["system", "user", "assistant"]),
  content: z.string(),
});

const commonShape = {
  model: nameSchema,
  /** Name of an adapter that the catalogue lists for the model. */
  adapter: nameSchema.optional(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(4096).default(128),
};

/** Maximum number of messages in one request. */
export const MAX_MESSAGE_COUNT = 256;

export const chatRequestSchema = z.object({
  ...commonShape,
  messages: z.array(chatMessageSchema).min(1).max(MAX_MESSAGE_COUNT),
});
export type ChatRequest = z.infer<typeof chatRequestSchema>;

export const completionRequestSchema = z.object({
  ...commonShape,
  prompt: z.string().min(1),
});
export type CompletionRequest = z.infer<typeof completionRequestSchema>;

/** Priority classes in order of urgency. */
export const prioritySchema = z.enum(["interactive", "standard", "batch"]);
export type Priority = z.infer<typeof prioritySchema>;

/** A request for an answer, in the form that the daemon uses internally. */
export interface AnswerRequest {
  readonly requestId: string;
  readonly organisation: string;
  /** Capacity share of the organisation relative to others; 1 if left out. */
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

/** How an answer was produced, for callers to verify. */
export const answerProvenanceSchema = z.object({
  version: z.string(),
  noteNumber: z.number().int(),
  /** Digest over each layer of each token, in order, as engines compute it. */
  digest: z.string(),
  attempts: z.number().int(),
});
export type AnswerProvenance = z.infer<typeof answerProvenanceSchema>;
