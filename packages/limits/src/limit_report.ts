/** What instances tell one another about the use of limits. */
import { nameSchema } from "@rosemarypin/schemas";
import { z } from "zod";

/** What one instance was asked for since its last report. */
const usageSchema = z.object({
  organisation: nameSchema,
  requests: z.number().nonnegative(),
  /** Tokens that the requests asked for at most. */
  tokens: z.number().nonnegative(),
});
export type Usage = z.infer<typeof usageSchema>;

export const limitReportSchema = z.object({
  usages: z.array(usageSchema).max(10_000),
});
export type LimitReport = z.infer<typeof limitReportSchema>;

/** Which share of an organisation's requests may go on. */
const verdictSchema = z.object({
  organisation: nameSchema,
  /** From 0 to 1; 1 is within the limits. */
  share: z.number().min(0).max(1),
});
export type Verdict = z.infer<typeof verdictSchema>;

export const limitVerdictsSchema = z.object({
  verdicts: z.array(verdictSchema),
  /** When to report to this home again, in milliseconds. */
  nextAfterMs: z.number().nonnegative(),
});
export type LimitVerdicts = z.infer<typeof limitVerdictsSchema>;
