/**
 * Times at which steps were to arrive. A busy machine's timers and sockets are
 * late by milliseconds at each hop; counted from the late arrival, a pipeline
 * would be slower than its stated speeds, and its bound could not be reached.
 */
import type { EngineMessage, StepMessage } from "./step.ts";

/** A step that is later than this was held back by a fault, not by a timer. */
const LATEST_MS = 20;

/** Adds to a step when it was to arrive, a `performance.now()` time. */
export function withDueTime(
  message: EngineMessage,
  dueAt: number,
): EngineMessage {
  if (message.type !== "step") return message;
  return { ...message, dueAt: performance.timeOrigin + dueAt };
}

/** When a step that is here now counts as arrived, as `performance.now()`. */
export function arrivalOf({ dueAt }: StepMessage): number {
  const now = performance.now();
  if (dueAt === undefined) return now;
  const due = dueAt - performance.timeOrigin;
  return due < now - LATEST_MS ? now : Math.min(due, now);
}
