/** Log lines about bad input, whose number must not grow with the input. */
import type { EventName, LogFields, Logger } from "@rosemarypin/telemetry";

const MIN_INTERVAL_MS = 5_000;

/** Creates a function that logs a warning at most once every 5 s. */
export function createOccasionalWarning<Name extends EventName>(
  log: Logger,
  event: Name,
): (fields: LogFields<Name>) => void {
  let lastLoggedAt = -Infinity;
  return (fields) => {
    const now = performance.now();
    if (now - lastLoggedAt < MIN_INTERVAL_MS) return;
    lastLoggedAt = now;
    log.warn(event, fields);
  };
}
