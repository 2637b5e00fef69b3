/** Chooses the model version of an answer. */
import { mayContinue, permitAnswer } from "@rosemarypin/release";
import type { Router } from "@rosemarypin/routing";
import type { AnswerRequest, NoteRecord } from "@rosemarypin/schemas";
import { createGiveUpFailure } from "./answer_failure.ts";
import type { Progress } from "./answer_progress.ts";
import {
  badCall,
  type CallFailure,
  notRun,
  withdrawnBy,
} from "./call_failure.ts";

const NO_NOTE_RETRY_SECONDS = 2;

/**
 * Sets the version in `progress`, or returns the failure. Later attempts keep
 * the version of the first one, so that no answer mixes versions. A withdrawn
 * version is replaced only if no token has been delivered.
 */
export function chooseVersion(
  request: AnswerRequest,
  options: {
    readonly progress: Progress;
    readonly record: NoteRecord | null;
    readonly router: Pick<Router, "covers">;
  },
): CallFailure | null {
  const { progress, record, router } = options;
  if (!record) {
    const code = "no_release_note";
    if (progress.mayHaveRun) return createGiveUpFailure(code, progress);
    return notRun(code, {
      message: "this instance has no release note yet; retry later",
      retryAfterSeconds: NO_NOTE_RETRY_SECONDS,
    });
  }
  const { version } = progress;
  if (version) {
    const answer = { ...request, version: version.version };
    if (mayContinue(record, answer)) return null;
    if (progress.deliveredTokens.length > 0) {
      return withdrawnBy(record.number, {
        what: `version '${version.version}' of model '${request.model}'`,
        reason: record.note.reason,
      });
    }
  }
  const { model, adapter } = request;
  const permission = permitAnswer(record, request, {
    isLoaded: (version) => router.covers({ model, version, adapter }),
  });
  if (permission.kind === "allowed") {
    progress.version = permission.version;
    progress.noteNumber = record.number;
    return null;
  }
  if (permission.kind === "withdrawn") {
    return withdrawnBy(permission.number, {
      what: `model '${request.model}'`,
      reason: permission.reason,
    });
  }
  return badCall("unknown_model", {
    message: `${permission.what} is not in release note ${record.number}`,
    status: 404,
  });
}
