/** What an HTTP answer tells of its own end. */
import type { IncomingHttpHeaders } from "node:http";

/** Statuses of answers that end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer to the method ends with its head. */
export function isBodiless(method: string, status: number): boolean {
  return method === "HEAD" || BODILESS_STATUSES.has(status);
}

/**
 * Whether an answer marks its own end, by a length or by chunks. Any other ends
 * with its connection, which doesn't show whether it was sent whole.
 */
export function marksItsEnd(
  method: string,
  {
    status,
    headers,
  }: { readonly status: number; readonly headers: IncomingHttpHeaders },
): boolean {
  if (isBodiless(method, status)) return true;
  const encodings = headers["transfer-encoding"];
  if (encodings !== undefined) return /\bchunked\s*$/i.test(String(encodings));
  return headers["content-length"] !== undefined;
}
