/** Replies of the administration API to a publish. */
import { badCall, type CallFailure, notRun } from "@rosemarypin/calls";
import type { PublishResult } from "@rosemarypin/release";
import { failureBody } from "./http_basics.ts";

const STORE_RETRY_SECONDS = 5;

/** What goes back: a body, or a failure. */
export type Reply =
  | { readonly status: number; readonly body: unknown }
  | { readonly failure: CallFailure };

/** Tells the operator how a publish went. */
export function publishReply(result: PublishResult, requestId: string): Reply {
  switch (result.kind) {
    case "recorded": {
      const { number } = result.record;
      const { repeated } = result;
      return { status: 201, body: { number, phase: "recorded", repeated } };
    }
    case "conflict": {
      const failure = conflict(result.head?.number ?? 0);
      const body = { ...failureBody(failure, requestId), head: result.head };
      return { status: failure.status, body };
    }
    case "invalid": {
      const lines = result.problems.map(
        ({ line, message }) => `${line}: ${message}`,
      );
      return { failure: badNote(lines.join("; ")) };
    }
    case "unavailable":
      return { failure: storeAway("the note") };
    case "unknown":
      return { failure: publishUnknown(result.detail) };
  }
}

/** The note cannot be published as it stands. */
export function badNote(message: string): CallFailure {
  return badCall("bad_note", { message, status: 422 });
}

/** The platform's store cannot be reached. */
export function storeAway(what: string): CallFailure {
  return notRun("store_unavailable", {
    message: `the platform's store cannot be reached, so ${what} was not touched; try again`,
    retryAfterSeconds: STORE_RETRY_SECONDS,
  });
}

function conflict(number: number): CallFailure {
  return badCall("conflict", {
    message: `note ${number} came first; look at it and publish again`,
    status: 409,
  });
}

function publishUnknown(detail: string): CallFailure {
  return {
    outcome: "outcome_unknown",
    code: "publish_unknown",
    status: 504,
    message: `${detail}; publish the same file again, with the same publish id`,
    retryAfterSeconds: STORE_RETRY_SECONDS,
  };
}
