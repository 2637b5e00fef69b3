/** Failures that the callers' interface itself gives. */
import {
  badCall,
  type CallFailure,
  notRun,
  outcomeUnknown,
} from "@rosemarypin/calls";

const REFUSAL_RETRY_SECONDS = 2;

/** No organisation has the key that was sent. */
export function wrongKey(): CallFailure {
  return badCall("wrong_key", {
    message: "send your organisation's key as 'authorization: Bearer KEY'",
    status: 401,
  });
}

/** The idempotency-key is not one that can be kept. */
export function badKey(): CallFailure {
  return badCall("bad_key", {
    message: "idempotency-key must be 1 to 128 printable characters",
    status: 400,
  });
}

/** The organisation asks for more than its settings allow it. */
export function limitReached(retryAfterSeconds: number): CallFailure {
  return {
    ...notRun("limit_reached", {
      message:
        "your organisation asks for more than its limit; " +
        "slow down, or ask the operators for a higher one",
      retryAfterSeconds,
    }),
    status: 429,
  };
}

/** Nothing is served at the path. */
export function unknownPath(): CallFailure {
  return badCall("unknown_path", {
    message: "there is nothing at this path; see docs/openapi/callers.yaml",
    status: 404,
  });
}

/** The path is served by another method. */
export function wrongMethod(allowed: string): CallFailure {
  return badCall("wrong_method", {
    message: `this path takes ${allowed} only`,
    status: 405,
  });
}

/** After work was handed on, `not_run` could be untrue. */
export function internalError(handedOn: boolean): CallFailure {
  if (handedOn) {
    const message = "something broke in this instance; the call may have run";
    return outcomeUnknown("internal_error", message);
  }
  return notRun("internal_error", {
    message: "something broke in this instance; ask again",
    retryAfterSeconds: REFUSAL_RETRY_SECONDS,
  });
}
