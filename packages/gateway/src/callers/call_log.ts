/** Logs how calls ended. */
import { createLogger } from "@rosemarypin/telemetry";
import { type CallEnd, type CallerCall, priorityOf } from "./caller_call.ts";

const log = createLogger("callers");

/** Returns which objective of its route a complete answer missed, if any. */
function missedObjectiveOf(
  { route, startedAt }: CallerCall,
  { outcome, firstByteMs, pace }: CallEnd,
): "first" | "pause" | undefined {
  if (outcome !== "answered") return undefined;
  const firstMs = firstByteMs ?? performance.now() - startedAt;
  if (firstMs > route.objectiveMs) return "first";
  const pauseMs = route.kind === "stream" ? (pace?.pauseMs ?? 0) : 0;
  return pauseMs > route.pauseObjectiveMs ? "pause" : undefined;
}

/** Logs how a call ended. */
export function logEnd(call: CallerCall, end: CallEnd): void {
  const fields = {
    request: call.id,
    route: call.route.name,
    service: call.service.name,
    organisation: call.organisation?.name,
    priority: priorityOf(call),
    arrival: call.arrival,
    from: call.handedOff?.from,
    status: end.status,
    outcome: end.outcome,
    reason: end.reason,
    retry_after_s: end.retryAfterSeconds,
    attempts: end.attempts,
    first_ms: end.firstByteMs === null ? undefined : end.firstByteMs.toFixed(0),
    total_ms: (performance.now() - call.startedAt).toFixed(0),
    late: missedObjectiveOf(call, end),
    events: end.pace?.events,
    pause_ms: end.pace?.pauseMs.toFixed(0),
    pause_at_ms: end.pace?.pauseAtMs.toFixed(0),
  };
  if (end.outcome === "answered") log.info("request_ended", fields);
  else log.warn("request_ended", fields);
}
