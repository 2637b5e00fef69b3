/** The four outcomes of a failed call, as callers see them. */
import { z } from "zod";

export const outcomeSchema = z.enum([
  /** Guaranteed: no part of the request ran. */
  "not_run",
  /** The request ran or was invalid; the error is final. */
  "failed",
  /** The request may have run; rosemarypin never repeats it. */
  "outcome_unknown",
  /** What the request asked for was withdrawn by a release note. */
  "withdrawn",
]);
export type Outcome = z.infer<typeof outcomeSchema>;

/** Body of every failed call, on both APIs. */
export const failureBodySchema = z.object({
  error: z.object({
    outcome: outcomeSchema,
    /** A stable code for programs, such as `queue_full`. */
    code: z.string(),
    /** A message for people that says what to do next. */
    message: z.string(),
    requestId: z.string(),
    /** Delay before a retry; also sent as the `retry-after` header. */
    retryAfterSeconds: z.number().nonnegative().optional(),
    /** The release note that caused the failure, if any. */
    noteNumber: z.number().int().optional(),
  }),
});
export type FailureBody = z.infer<typeof failureBodySchema>;
