/** A caller's request in progress, and its end. */
import type { ServerResponse } from "node:http";
import type { Arrival } from "@rosemarypin/admission";
import type { Organisation, Route, Service } from "../configuration.ts";
import type { RequestMetadata } from "../protocol.ts";
import type { HandoffTerms } from "./handoff_headers.ts";
import type { PaceSummary } from "./stream_pace.ts";

export interface CallerCall {
  /** The caller's request id, or a generated one. */
  readonly id: string;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: Service;
  readonly organisation: Organisation | null;
  /** Version of the configuration by which it was accepted. */
  readonly configurationVersion: number;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | null;
  readonly response: ServerResponse;
  /**
   * Terms under which another instance handed the request off; `null` for
   * requests that callers sent to this instance.
   */
  readonly handedOff: HandoffTerms | null;
  /** By the monotonic clock, in milliseconds. */
  readonly startedAt: number;
  /** Whether the caller returns after a refusal, as far as is known. */
  readonly arrival: Arrival;
  /** First attempt of the caller, by the same clock. */
  readonly firstAttemptAt: number;
  /** Deadline of the caller or the route, by the same clock. */
  readonly deadlineAt: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Whether the caller disconnected before the end of the answer. */
  readonly hasCallerLeft: () => boolean;
}

/** How a request ended, for the log and the metrics. */
export interface CallEnd {
  /** HTTP status sent to the caller; 0 if the connection closed first. */
  readonly status: number;
  readonly outcome: CallOutcome;
  readonly reason: string;
  /** Number of times that the request was sent to a backend server. */
  readonly attempts: number;
  /** Milliseconds to the first byte of the answer; `null` without one. */
  readonly firstByteMs: number | null;
  /** Event timing of a stream; absent for plain and refused calls. */
  readonly pace?: PaceSummary;
  /** Retry delay that the caller was given; absent without one. */
  readonly retryAfterSeconds?: number;
}

/**
 * `answered`: a backend server's answer was relayed in full. `not_run`: the
 * request did not and will not run. `unknown`: it may have run. `cut`: an
 * answer broke off. `caller_left`: the caller disconnected.
 */
export type CallOutcome =
  | "answered"
  | "not_run"
  | "unknown"
  | "cut"
  | "caller_left";

/** Milliseconds until the deadline of a call; negative after it. */
export function timeLeftMs({ deadlineAt }: CallerCall): number {
  return deadlineAt - performance.now();
}

/** Number of backend servers that may still run the call. */
export function maxAttemptsOf({ route, handedOff }: CallerCall): number {
  return Math.min(route.maxAttempts, handedOff?.maxAttempts ?? Infinity);
}

/** Priority of the call's organisation, or of its route if that has none. */
export function priorityOf({
  organisation,
  route,
}: Pick<CallerCall, "organisation" | "route">): number {
  return organisation?.priority ?? route.priority;
}
