/**
 * Headers between two instances: the terms of a request that one hands off, and
 * what the other one reports with its answer.
 */
import { z } from "zod";

/** Name of the header that carries the terms, as Node.js gives it. */
export const HANDOFF_HEADER = "rosemarypin-handoff";
/** Name of the header that carries the report, as Node.js gives it. */
export const HANDOFF_REPORT_HEADER = "rosemarypin-handoff-report";

/** Bound on the time that a request may last, above that of any deadline. */
const MAX_ELAPSED_MS = 3_600_000;

const handoffTermsSchema = z.object({
  /** Instance that hands the request off. */
  from: z.string(),
  /** Version of the configuration by which it has accepted the request. */
  configurationVersion: z.number(),
  /**
   * Milliseconds since it has accepted the request. Instances of older versions
   * neither send nor read it; without it, or with an invalid one, the version in
   * force decides.
   */
  acceptedForMs: z
    .number()
    .min(0)
    .max(MAX_ELAPSED_MS)
    .optional()
    .catch(undefined),
  /** Service that was drawn for the request. */
  service: z.string(),
  /** Time left for the answer, in milliseconds. */
  deadlineMs: z.number().positive(),
  /** Servers that may still run the request. */
  maxAttempts: z.number().int().positive(),
  /** Event after which a stream continues; `null` for its beginning. */
  lastEventId: z
    .string()
    .regex(/^[\t\x20-\x7e\x80-\xff]*$/)
    .nullable(),
  /**
   * Whether the receiver takes a retry from its budget, since the request may
   * have been sent before and the sender's budget is used up.
   */
  takesRetry: z.boolean(),
  /** IDs of servers that have answered the request with errors. */
  failedServers: z.array(z.string()),
  /**
   * How the request arrived at its first instance, and the time since its
   * caller's first attempt. Instances of older versions neither send nor read
   * it. An invalid one counts as absent, since the request can be served.
   */
  arrival: z
    .object({
      arrival: z.enum(["first", "returning", "hurried"]),
      elapsedMs: z.number().min(0).max(MAX_ELAPSED_MS),
    })
    .optional()
    .catch(undefined),
});

const handoffReportSchema = handoffTermsSchema.pick({ failedServers: true });

export type HandoffTerms = z.infer<typeof handoffTermsSchema>;

export type HandoffReport = z.infer<typeof handoffReportSchema>;

export function encodeHandoffHeader(
  content: HandoffTerms | HandoffReport,
): string {
  return encodeURIComponent(JSON.stringify(content));
}

/** Returns `null` for a header that isn't valid. */
export function decodeHandoffTerms(
  header: string | string[] | undefined,
): HandoffTerms | null {
  return decodeHeader(handoffTermsSchema, header);
}

/** Returns `null` for a header that is absent or not valid. */
export function decodeHandoffReport(
  header: string | string[] | undefined,
): HandoffReport | null {
  return decodeHeader(handoffReportSchema, header);
}

function decodeHeader<Content>(
  schema: z.ZodType<Content>,
  header: string | string[] | undefined,
): Content | null {
  if (typeof header !== "string") return null;
  try {
    const content = JSON.parse(decodeURIComponent(header));
    const parsed = schema.safeParse(content);
    return parsed.success ? parsed.data : null;
  } catch {
    // Not JSON. Terms are rejected with a log line; a report is optional.
    return null;
  }
}

/** Returns raw headers without the terms, which servers must not receive. */
export function withoutHandoffTerms(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => {
    const name = rawHeaders[index - (index % 2)] ?? "";
    return name.toLowerCase() !== HANDOFF_HEADER;
  });
}
