/** A caller's request while this instance works on it. */
import type { ServerResponse } from "node:http";
import type { Organisation, Route, Service } from "../configuration.ts";
import type { RequestFacts } from "../protocol.ts";
import type { PaceSummary } from "./stream_pace.ts";

export interface CallerCall {
  /** The caller's id of the request, or one of ours. */
  readonly id: string;
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: Service;
  readonly organisation: Organisation | null;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | null;
  readonly response: ServerResponse;
  /** By the monotonic clock, in milliseconds. */
  readonly startedAt: number;
  /** When the caller or the route gives up, by the same clock. */
  readonly deadlineAt: number;
  /** Aborted when the caller left or the time is over. */
  readonly signal: AbortSignal;
  /** Whether it was the caller who left. */
  readonly callerLeft: () => boolean;
}

/** How a request ended, for the log and the metrics. */
export interface CallEnd {
  /** What the caller got; 0 for a closed connection. */
  readonly status: number;
  readonly outcome: CallOutcome;
  readonly reason: string;
  /** Backend servers that it was sent to. */
  readonly attempts: number;
  /** Time to the first byte of the answer; `null` when there was none. */
  readonly firstByteMs: number | null;
  /** Present for streams of which events went out. */
  readonly pace?: PaceSummary;
}

/**
 * `answered`: a backend server's answer was passed on whole. `not_run`: it
 * did not and will not run. `unknown`: it may have run. `cut`: an answer
 * broke off. `caller_left`: nobody waits any more.
 */
export type CallOutcome =
  | "answered"
  | "not_run"
  | "unknown"
  | "cut"
  | "caller_left";

/** Milliseconds until the time of a call is over. */
export function timeLeftMs({ deadlineAt }: CallerCall): number {
  return deadlineAt - performance.now();
}

/** The priority that counts: the organisation's before the route's. */
export function priorityOf({ organisation, route }: CallerCall): number {
  return organisation?.priority ?? route.priority;
}
