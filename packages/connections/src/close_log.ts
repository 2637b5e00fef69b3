/** Log lines of closed connections, which a crowd can't multiply. */
import { createLogger } from "@rosemarypin/telemetry";
import type { CloseCause } from "./close_cause.ts";

/** Lines a second, beyond which closes are only counted. */
const MAX_LINES = 20;
const PERIOD_MS = 1_000;

const log = createLogger("callers");

export interface CloseLog {
  add(cause: CloseCause, fields: Readonly<Record<string, unknown>>): void;
}

export function createCloseLog(): CloseLog {
  let beganAt = -Infinity;
  let lines = 0;
  let omitted = 0;

  return {
    add(cause, fields) {
      if (cause === "announced") return;
      const now = performance.now();
      if (now - beganAt >= PERIOD_MS) {
        if (omitted > 0) log.info("connections_closed", { count: omitted });
        beganAt = now;
        lines = 0;
        omitted = 0;
      }
      lines += 1;
      if (lines > MAX_LINES) omitted += 1;
      else log.info("connection_closed", fields);
    },
  };
}
