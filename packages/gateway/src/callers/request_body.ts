/** Reads the bodies of callers' requests. */
import type { IncomingMessage } from "node:http";
import type { CallerLimits } from "../configuration.ts";

/** Resolves to `null` for a request without a body. */
export async function readRequestBody(
  request: IncomingMessage,
  { bodyBytes }: Pick<CallerLimits, "bodyBytes">,
): Promise<Buffer | null | "too_large" | "broken"> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > bodyBytes) return "too_large";
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
      if (bytes > bodyBytes) return "too_large";
      chunks.push(chunk as Buffer);
    }
  } catch {
    return "broken";
  }
  return bytes === 0 ? null : Buffer.concat(chunks);
}
