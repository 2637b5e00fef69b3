/** Stand-in of a booking service, which keeps a journal of what it ran. */
import type { Server } from "node:http";
import { type JsonExchange, reply, startJsonServer } from "./http_json.ts";

/** One run of a call that may not be repeated. */
export interface JournalEntry {
  readonly idempotencyKey: string;
  readonly organisation: string;
  readonly path: string;
  readonly at: number;
}

/** Faults that a test can switch on with `POST /faults`. */
export interface PlainServiceFaults {
  /** Wait before a call runs, in milliseconds. */
  delayMs: number;
  /** So many of the next calls run and lose their answer. */
  loseAnswers: number;
  /** So many of the next calls are refused as not started. */
  refuse: number;
}

/** Starts a service that takes any POST as an order, any GET as a lookup. */
export function startPlainService(options: {
  readonly host: string;
  readonly port: number;
  readonly id: string;
}): Promise<Server> {
  const journal: JournalEntry[] = [];
  const faults: PlainServiceFaults = { delayMs: 0, loseAnswers: 0, refuse: 0 };

  async function handle(exchange: JsonExchange): Promise<void> {
    const { url, method, response, body } = exchange;
    if (url.pathname === "/journal") return reply(response, 200, journal);
    if (url.pathname === "/faults") {
      Object.assign(faults, body);
      return reply(response, 200, faults);
    }
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      response.setHeader("x-not-started", "busy");
      return reply(response, 503, { error: "busy" });
    }
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (method === "GET") {
      return reply(response, 200, { path: url.pathname, server: options.id });
    }
    run(exchange);
  }

  function run({ request, url, response }: JsonExchange): void {
    journal.push({
      idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
      organisation: String(request.headers["x-organisation"] ?? ""),
      path: url.pathname,
      at: Date.now(),
    });
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    reply(response, 201, { number: journal.length, server: options.id });
  }

  return startJsonServer({ ...options, handle });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
