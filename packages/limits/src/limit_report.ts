/** Messages between instances about the usage of limits. */
import { nameSchema } from "@rosemarypin/schemas";
import { z } from "zod";

/** Requests that an instance received since its last report. */
const usageSchema = z.object({
  organisation: nameSchema,
  requests: z.number().nonnegative(),
  /** Sum of the maximum tokens of the requests. */
  tokens: z.number().nonnegative(),
});
export type Usage = z.infer<typeof usageSchema>;

export const limitReportSchema = z.object({
  usages: z.array(usageSchema).max(10_000),
});
export type LimitReport = z.infer<typeof limitReportSchema>;

/** Share of an organisation's requests that may be admitted. */
const verdictSchema = z.object({
  organisation: nameSchema,
  /** From 0 to 1, where 1 means within the limits. */
  share: z.number().min(0).max(1),
});
export type Verdict = z.infer<typeof verdictSchema>;

export const limitVerdictsSchema = z.object({
  verdicts: z.array(verdictSchema),
  /** Milliseconds until the next report to this coordinator. */
  nextAfterMs: z.number().nonnegative(),
});
export type LimitVerdicts = z.infer<typeof limitVerdictsSchema>;
