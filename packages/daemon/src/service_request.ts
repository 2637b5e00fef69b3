/** Reads the path and the key of a call of a plain service. */
import { badCall, type CallFailure } from "@rosemarypin/calls";

const PREFIX = "/services/";
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
/** Dots, slashes and NUL that hide behind an encoding. */
const HIDDEN = /%(2e|2f|5c|00)/i;

export type ParsedServicePath =
  | {
      readonly kind: "valid";
      readonly service: string;
      /** Path and query below the service, as the service gets them. */
      readonly path: string;
    }
  | { readonly kind: "invalid"; readonly failure: CallFailure };

/**
 * Splits `/services/NAME/PATH?QUERY`. A segment `..`, plain or encoded, would
 * match `*` in a rule, and the HTTP client or the service would then resolve
 * it: a lookup that may be repeated would reach another call, perhaps one that
 * may not. So each segment must mean the same to all who read it.
 */
export function parseServicePath(url: string): ParsedServicePath {
  const queryAt = url.indexOf("?");
  const path = queryAt < 0 ? url : url.slice(0, queryAt);
  const query = queryAt < 0 ? "" : url.slice(queryAt);
  const [service = "", ...segments] = path.slice(PREFIX.length).split("/");
  const isPlain = [service, ...segments].every(isPlainSegment);
  if (!isPlain) return { kind: "invalid", failure: badPath() };
  return { kind: "valid", service, path: `/${segments.join("/")}${query}` };
}

/** Whether a call may carry the key. */
export function isIdempotencyKey(key: string): boolean {
  return KEY_PATTERN.test(key);
}

function isPlainSegment(segment: string): boolean {
  if (segment === "" || segment === "." || segment === "..") return false;
  return !HIDDEN.test(segment) && !segment.includes("\\");
}

function badPath(): CallFailure {
  return badCall("bad_path", {
    message:
      "expected /services/NAME/PATH whose segments are not empty, '.' or " +
      "'..', and hide no dot, slash or NUL behind an encoding",
    status: 400,
  });
}
