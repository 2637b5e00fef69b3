/** Headers of HTTP that concern a single connection and aren't forwarded. */

/** Names in lower case, in addition to those listed in `Connection`. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
]);

const NONE: ReadonlySet<string> = new Set();

/**
 * Returns raw headers, a flat list of names and values, without those of the
 * connection and without `excluded`, which holds names in lower case.
 */
export function withoutConnectionHeaders(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string> = NONE,
): string[] {
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
    for (const name of (rawHeaders[index + 1] ?? "").split(",")) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  const pairs: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || excluded.has(lower)) continue;
    if (connectionOptions.has(lower)) continue;
    pairs.push(name, rawHeaders[index + 1] ?? "");
  }
  return pairs;
}
