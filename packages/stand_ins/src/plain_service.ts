/** Stand-in of a booking service, which keeps a journal of what it ran. */

import { appendFileSync } from "node:fs";
import type { Server } from "node:http";
import { pause } from "@rosemarypin/timing";
import { type JsonExchange, reply, startJsonServer } from "./http_json.ts";

/** One run of a call that may not be repeated. */
export interface JournalEntry {
  /** Server that ran the call. */
  readonly server: string;
  readonly idempotencyKey: string;
  readonly organisation: string;
  readonly requestId: string;
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
  /** The server says that it leaves, but runs what it gets. */
  leaving: boolean;
}

const LOOKUP_PATH = "/orders/by-key/";

/** Starts a service that takes any POST as an order, any GET as a lookup. */
export function startPlainService(options: {
  readonly host: string;
  readonly port: number;
  readonly id: string;
  /** Keeps the journal in a file as well, which outlives the process. */
  readonly journalFile?: string | undefined;
}): Promise<Server> {
  const journal: JournalEntry[] = [];
  const faults: PlainServiceFaults = {
    delayMs: 0,
    loseAnswers: 0,
    refuse: 0,
    leaving: false,
  };

  async function handle(exchange: JsonExchange): Promise<void> {
    const { url, method, response, body } = exchange;
    if (url.pathname === "/journal") return reply(response, 200, journal);
    if (url.pathname === "/faults") {
      Object.assign(faults, body);
      return reply(response, 200, faults);
    }
    if (url.pathname === "/health") {
      return reply(response, faults.leaving ? 503 : 200, faults);
    }
    if (url.pathname.startsWith(LOOKUP_PATH)) return lookUp(exchange);
    if (faults.leaving) response.setHeader("x-leaving", "1");
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      response.setHeader("x-not-started", "busy");
      return reply(response, 503, { error: "busy" });
    }
    if (faults.delayMs > 0) await pause(faults.delayMs);
    if (method === "GET") {
      return reply(response, 200, { path: url.pathname, server: options.id });
    }
    run(exchange);
  }

  /** Finds only what this server ran itself. */
  function lookUp({ request, url, response }: JsonExchange): void {
    const key = decodeURIComponent(url.pathname.slice(LOOKUP_PATH.length));
    const organisation = String(request.headers["x-organisation"] ?? "");
    const index = journal.findIndex(
      (entry) =>
        entry.idempotencyKey === key && entry.organisation === organisation,
    );
    if (index < 0) return reply(response, 404, { error: "no such key" });
    reply(response, 200, { number: index + 1, server: options.id });
  }

  function run({ request, url, response }: JsonExchange): void {
    const entry: JournalEntry = {
      server: options.id,
      idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
      organisation: String(request.headers["x-organisation"] ?? ""),
      requestId: String(request.headers["x-request-id"] ?? ""),
      path: url.pathname,
      at: Date.now(),
    };
    journal.push(entry);
    if (options.journalFile) {
      appendFileSync(options.journalFile, `${JSON.stringify(entry)}\n`);
    }
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    reply(response, 201, { number: journal.length, server: options.id });
  }

  return startJsonServer({ ...options, handle });
}
