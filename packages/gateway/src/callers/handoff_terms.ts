/** Terms of a request that one instance hands off to another. */
import { z } from "zod";

/** Name of the header that carries the terms, as Node.js gives it. */
export const HANDOFF_HEADER = "rosemarypin-handoff";

const handoffTermsSchema = z.object({
  /** Instance that hands the request off. */
  from: z.string(),
  /** Version of the configuration by which it has accepted the request. */
  configurationVersion: z.number(),
  /** Service that was drawn for the request. */
  service: z.string(),
  /** Time left for the answer, in milliseconds. */
  deadlineMs: z.number().positive(),
  /** Servers that may still run the request. */
  maxAttempts: z.number().int().positive(),
  /** Event after which a stream continues; `null` for its beginning. */
  lastEventId: z.string().nullable(),
  /**
   * Whether the receiver takes a retry from its budget, since the request may
   * have been sent before and the sender's budget is used up.
   */
  takesRetry: z.boolean(),
});

export type HandoffTerms = z.infer<typeof handoffTermsSchema>;

export function encodeHandoffTerms(terms: HandoffTerms): string {
  return encodeURIComponent(JSON.stringify(terms));
}

/** Returns `null` for a header that isn't valid. */
export function decodeHandoffTerms(
  header: string | string[] | undefined,
): HandoffTerms | null {
  if (typeof header !== "string") return null;
  try {
    const content = JSON.parse(decodeURIComponent(header));
    const parsed = handoffTermsSchema.safeParse(content);
    return parsed.success ? parsed.data : null;
  } catch {
    // Not JSON; the receiver logs and rejects the request.
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
