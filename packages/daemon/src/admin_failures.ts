/** Failures that the administration API itself gives. */
import { badCall, type CallFailure, notRun } from "@rosemarypin/calls";

const INTERNAL_RETRY_SECONDS = 2;

/** The key is not the administrators'. */
export function wrongKey(): CallFailure {
  return badCall("wrong_key", {
    message: "send the administrators' key as 'authorization: Bearer KEY'",
    status: 401,
  });
}

/** Nothing is served at the path. */
export function unknownPath(): CallFailure {
  return badCall("unknown_path", {
    message: "there is nothing at this path; see docs/openapi/admin.yaml",
    status: 404,
  });
}

/** No note has the number. */
export function unknownNote(number: number): CallFailure {
  return badCall("unknown_note", {
    message: `there is no note ${number}; see 'rosemarypin note history'`,
    status: 404,
  });
}

/** The path takes other methods. */
export function wrongMethod(allowed: string): CallFailure {
  return badCall("wrong_method", {
    message: `this path takes ${allowed} only`,
    status: 405,
  });
}

/** The query is not one that the path takes. */
export function badQuery(expected: string): CallFailure {
  return badCall("bad_query", { message: `expected ${expected}`, status: 400 });
}

/** A fault of this instance; the request changed nothing. */
export function internalError(): CallFailure {
  return notRun("internal_error", {
    message: "something broke in this instance; ask another one",
    retryAfterSeconds: INTERNAL_RETRY_SECONDS,
  });
}

/** No instance that answered remembers the request. */
export function unknownRequest(silent: readonly string[]): CallFailure {
  const others =
    silent.length > 0 ? `; could not be asked: ${silent.join(", ")}` : "";
  return badCall("unknown_request", {
    message:
      "no instance remembers this request; each keeps its latest 4,096, and " +
      `none of an earlier process or wrong in form${others}`,
    status: 404,
  });
}
