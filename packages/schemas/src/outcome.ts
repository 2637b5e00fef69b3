/** The four outcomes that a failed call can have, as callers see them. */
import { z } from "zod";

export const outcomeSchema = z.enum([
  /** Certain: no part of the request ran. */
  "not_run",
  /** The request ran, or was wrong, and this is its final answer. */
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
    /** A stable word for programs, such as `queue_full`. */
    code: z.string(),
    /** A sentence for people that says what to do next. */
    message: z.string(),
    requestId: z.string(),
    /** When to come back; also sent as the `retry-after` header. */
    retryAfterSeconds: z.number().nonnegative().optional(),
    /** The release note that decided, when one did. */
    noteNumber: z.number().int().optional(),
  }),
});
export type FailureBody = z.infer<typeof failureBodySchema>;
