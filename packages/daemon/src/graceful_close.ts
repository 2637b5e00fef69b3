/** Ways to close a server of HTTP. */
import type { Server } from "node:http";
import type { CallerServer } from "@rosemarypin/connections";
import { pause } from "@rosemarypin/timing";
import type { WorkInProgress } from "./work_in_progress.ts";

const SWEEP_EVERY_MS = 100;
const LAST_BYTES_MS = 2_000;

/**
 * Waits until no request has come for a while, within a limit.
 *
 * A balancer that is late goes on sending after its lag. Its next request may
 * already be on its way on a connection that looks idle here; closed now, the
 * caller would see a reset and not know whether it ran.
 */
export function waitForQuiet(
  server: Pick<Server, "on" | "off">,
  options: { readonly quietMs: number; readonly withinMs: number },
): Promise<void> {
  return new Promise((resolve) => {
    const limit = setTimeout(end, options.withinMs);
    let quiet = setTimeout(end, options.quietMs);
    server.on("request", restart);
    function restart(): void {
      clearTimeout(quiet);
      quiet = setTimeout(end, options.quietMs);
    }
    function end(): void {
      clearTimeout(limit);
      clearTimeout(quiet);
      server.off("request", restart);
      resolve();
    }
  });
}

/**
 * Takes no new connection, lets requests end, and closes what falls idle.
 *
 * A connection whose last answer began before the drain is kept alive by its
 * caller and would hold the server open until the grace time cuts it.
 */
export function closeGracefully(callers: CallerServer): Promise<void> {
  const sweep = setInterval(callers.closeIdle, SWEEP_EVERY_MS);
  return new Promise((resolve) => {
    callers.server.once("close", () => {
      clearInterval(sweep);
      resolve();
    });
    callers.stopListening();
    callers.closeIdle();
  });
}

/** What is left to end when a server closes. */
export interface RestOfWork {
  /** Resolves when the server and all its connections are closed. */
  readonly closed: Promise<void>;
  readonly work: Pick<WorkInProgress, "count" | "waitForEnd">;
  /** Rest of the grace time, in milliseconds. */
  readonly withinMs: number;
}

/**
 * Cuts what is still open after a while; resolves to whether no work was cut.
 *
 * Work has ended by then, but the last bytes of an answer may still be on
 * their way into the socket; cut at once, the caller got half of an answer
 * that was whole here. And a request may still have come on a connection that
 * was kept open: cut with the rest, its caller saw the connection end before
 * the first token. So nothing is cut while there is work, within the grace
 * time.
 */
export async function closeRest(
  callers: Pick<CallerServer, "closeAll" | "unanswered">,
  { closed, work, withinMs }: RestOfWork,
): Promise<boolean> {
  const cutAt = performance.now() + withinMs;
  const hasClosed = closed.then(() => true);
  for (;;) {
    const lastBytes = new AbortController();
    const isClosed = await Promise.race([
      hasClosed,
      pause(LAST_BYTES_MS, lastBytes.signal).then(() => false),
    ]);
    lastBytes.abort();
    if (isClosed) return true;
    const isAnswered = callers.unanswered().length === 0;
    if (work.count() === 0 && isAnswered) break;
    if (performance.now() >= cutAt) break;
    const ended = await work.waitForEnd(cutAt - performance.now());
    if (!ended) break;
  }
  const isAnswered = callers.unanswered().length === 0;
  const allEnded = work.count() === 0 && isAnswered;
  callers.closeAll();
  await closed;
  return allEnded;
}

/** Cuts all connections. */
export function closeNow(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
