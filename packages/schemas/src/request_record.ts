/** Records of callers' requests that instances keep for operators. */
import { z } from "zod";
import { nameSchema, noteNumberSchema } from "./names.ts";

/** One instance's record of a request, without prompt, key and answer. */
export const requestRecordSchema = z.object({
  requestId: z.string(),
  /** The id that the caller gave the request. */
  callerRequestId: z.string().optional(),
  instance: nameSchema,
  kind: z.enum(["answer", "resumed_answer", "service_call"]),
  /** Model or service, as the caller named it. */
  name: z.string(),
  organisation: nameSchema,
  priority: z.string().optional(),
  /** Start of the request, in milliseconds since the epoch. */
  startedAt: z.number(),
  /** Duration of the request in milliseconds; absent while it runs. */
  durationMs: z.number().optional(),
  /** `running`, `done`, `caller_left` or the outcome of a failed request. */
  outcome: z.string(),
  /** Only for failed requests: error code and message sent to the caller. */
  code: z.string().optional(),
  message: z.string().optional(),
  retryAfterSeconds: z.number().optional(),
  /** Only for answers: the version that answered, and how the answer ran. */
  version: z.string().optional(),
  noteNumber: noteNumberSchema.optional(),
  attempts: z.number().int().optional(),
  tokens: z.number().int().optional(),
  firstTokenMs: z.number().optional(),
  /** Only for service calls: the HTTP status, and whether it was a replay. */
  status: z.number().int().optional(),
  repeated: z.boolean().optional(),
});
export type RequestRecord = z.infer<typeof requestRecordSchema>;

/** All records of one request. */
export const requestTraceSchema = z.object({
  requestId: z.string(),
  /** In the order of their start; several if the answer was resumed. */
  records: z.array(requestRecordSchema),
  /** Instances that did not reply and may have further records. */
  silent: z.array(nameSchema),
});
export type RequestTrace = z.infer<typeof requestTraceSchema>;
