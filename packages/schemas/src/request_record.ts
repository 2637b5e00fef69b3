/** What instances remember of callers' requests, for operators to ask. */
import { z } from "zod";
import { nameSchema, noteNumberSchema } from "./names.ts";

/** One request as one instance saw it; no prompt, key or answer is in it. */
export const requestRecordSchema = z.object({
  requestId: z.string(),
  /** The caller's own id of it. */
  callerRequestId: z.string().optional(),
  instance: nameSchema,
  kind: z.enum(["answer", "resumed_answer", "service_call"]),
  /** Model or service as the caller named it. */
  name: z.string(),
  organisation: nameSchema,
  priority: z.string().optional(),
  /** Milliseconds since the epoch. */
  startedAt: z.number(),
  /** Milliseconds until its end; absent while it runs. */
  durationMs: z.number().optional(),
  /** `running`, `done`, `caller_left` or the outcome of a failure. */
  outcome: z.string(),
  /** Of a failure: its code, and what the caller was told. */
  code: z.string().optional(),
  message: z.string().optional(),
  retryAfterSeconds: z.number().optional(),
  /** Of an answer: what it came from, and how it went. */
  version: z.string().optional(),
  noteNumber: noteNumberSchema.optional(),
  attempts: z.number().int().optional(),
  tokens: z.number().int().optional(),
  firstTokenMs: z.number().optional(),
  /** Of a service call: the server's status, and whether it was a replay. */
  status: z.number().int().optional(),
  repeated: z.boolean().optional(),
});
export type RequestRecord = z.infer<typeof requestRecordSchema>;

/** All that is remembered of one request. */
export const requestTraceSchema = z.object({
  requestId: z.string(),
  /** In the order of their start; more than one when an answer moved. */
  records: z.array(requestRecordSchema),
  /** Instances that could not be asked, and may know more. */
  silent: z.array(nameSchema),
});
export type RequestTrace = z.infer<typeof requestTraceSchema>;
