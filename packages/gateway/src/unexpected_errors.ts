/**
 * The place for errors that no code expects. Each is counted and logged, and
 * what went on beside it goes on.
 */
import type { ServerResponse } from "node:http";
import { closeConnection, recordCloseCause } from "@rosemarypin/connections";
import { createLogger } from "@rosemarypin/telemetry";
import { breakAnswerOff } from "./callers/caller_answer.ts";

/** Bound on log lines, since one cause may fail every request. */
const MAX_LINES_PER_PERIOD = 10;
const PERIOD_MS = 10_000;

const log = createLogger("daemon");

/** Where an error was caught: in a request or nowhere else. */
export type ErrorOrigin = "request" | "operators" | "exception" | "rejection";

export interface UnexpectedErrors {
  /** Counts the error, and logs it with its stack. */
  record(origin: ErrorOrigin, error: unknown): void;
  /** Errors since the start. */
  total(): number;
}

/** Creates the record of a process. */
export function createUnexpectedErrors(): UnexpectedErrors {
  let total = 0;
  let periodStartedAt = -Infinity;
  let lines = 0;

  return {
    record(origin, error) {
      total += 1;
      const now = performance.now();
      if (now - periodStartedAt >= PERIOD_MS) {
        periodStartedAt = now;
        lines = 0;
      }
      lines += 1;
      if (lines > MAX_LINES_PER_PERIOD) return;
      log.warn("unexpected_error", { origin, reason: describe(error), total });
    },
    total: () => total,
  };
}

/**
 * Records errors that would end the process otherwise. It goes on, since the
 * cause is often input that the other instances have received as well.
 */
export function surviveUnexpectedErrors(errors: UnexpectedErrors): void {
  process.on("uncaughtException", (error) => errors.record("exception", error));
  process.on("unhandledRejection", (reason) =>
    errors.record("rejection", reason),
  );
}

/**
 * Ends an answer after an unexpected error: `refuse` writes one unless it has
 * begun, in which case it is broken off. A complete answer stays as it is.
 */
export function endAfterError(
  response: ServerResponse,
  refuse: () => void,
): void {
  if (response.writableEnded) return;
  if (response.headersSent) {
    recordCloseCause(response.socket, "exception");
    return breakAnswerOff(response);
  }
  try {
    refuse();
  } catch {
    // Only the closed connection is left to say that there is no answer.
    closeConnection(response.socket, "exception");
  }
}

/** Anything can be thrown, also what can't be turned into text. */
function describe(error: unknown): string {
  try {
    return error instanceof Error ? (error.stack ?? error.message) : `${error}`;
  } catch {
    return typeof error;
  }
}
