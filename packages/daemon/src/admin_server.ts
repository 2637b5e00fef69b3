/** The administration API, metrics and health. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { CallFailure } from "@rosemarypin/calls";
import { createCallerMemories } from "@rosemarypin/connections";
import type { Publisher } from "@rosemarypin/release";
import {
  type NoteStatus,
  nameSchema,
  type ReleaseNote,
  releaseNoteSchema,
  type ServiceLevels,
  type Settings,
  type Status,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { z } from "zod";
import {
  badQuery,
  internalError,
  unknownNote,
  unknownPath,
  unknownRequest,
  wrongKey,
  wrongMethod,
} from "./admin_failures.ts";
import {
  badNote,
  publishReply,
  type Reply,
  storeAway,
} from "./admin_replies.ts";
import { checkJsonType } from "./answer_request.ts";
import { keyHashOf } from "./authentication.ts";
import { sendFailure, sendJson } from "./http_basics.ts";
import { startServer } from "./http_server.ts";
import type { NoteInspector } from "./note_inspector.ts";
import { createBodyMemory, readBody } from "./request_body.ts";
import type { FindRequest } from "./request_finder.ts";

/** Administrators share one part of the memory for bodies. */
const SENDER = "administrators";
const LARGEST_EXPLANATION = 2_000;

const log = createLogger("admin");

export interface AdminServerOptions {
  readonly settings: Settings;
  readonly metrics: Metrics;
  readonly publisher: Publisher;
  readonly inspector: NoteInspector;
  readonly status: () => Promise<Status>;
  readonly noteStatus: (number: number) => Promise<NoteStatus>;
  readonly serviceLevels: () => ServiceLevels;
  readonly findRequest: FindRequest;
  readonly isReady: () => boolean;
  readonly drain: () => void;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly url: URL;
}

interface Route {
  readonly method: "GET" | "POST";
  readonly path: RegExp;
  /** `word` is the first group of `path`. */
  run(exchange: Exchange, word: string): Promise<Reply>;
}

const explainQuerySchema = z.union([
  z.strictObject({ model: nameSchema, adapter: nameSchema.optional() }),
  z.strictObject({ service: nameSchema }),
]);
const diffQuerySchema = z.strictObject({
  to: z.coerce.number().int().positive(),
});

/** Starts to answer at the administrators' address. */
export async function startAdminServer(
  options: AdminServerOptions,
): Promise<Server> {
  const { settings, publisher, inspector } = options;
  const memories = createCallerMemories({
    bodyBudgetBytes: settings.limits.bodiesBytes,
  });
  const memory = createBodyMemory(memories.bodies);

  const routes: readonly Route[] = [
    {
      method: "GET",
      path: /^\/v1\/status$/,
      run: async () => ok(await options.status()),
    },
    {
      method: "GET",
      path: /^\/v1\/service-levels$/,
      run: async () => ok(options.serviceLevels()),
    },
    { method: "GET", path: /^\/v1\/notes$/, run: history },
    { method: "POST", path: /^\/v1\/notes$/, run: publish },
    { method: "POST", path: /^\/v1\/notes\/check$/, run: check },
    {
      method: "GET",
      path: /^\/v1\/notes\/(\d{1,9})\/status$/,
      run: async (_, number) => ok(await options.noteStatus(Number(number))),
    },
    { method: "GET", path: /^\/v1\/notes\/(\d{1,9})\/diff$/, run: diff },
    { method: "GET", path: /^\/v1\/notes\/(\d{1,9})$/, run: showNote },
    { method: "GET", path: /^\/v1\/explain$/, run: explain },
    {
      method: "GET",
      path: /^\/v1\/requests\/([0-9a-f-]{36})$/,
      run: showRequest,
    },
    {
      method: "POST",
      path: /^\/v1\/drain$/,
      run: async () => {
        options.drain();
        return { status: 202, body: { draining: true } };
      },
    },
  ];

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomUUID();
    try {
      const url = parseUrl(request.url);
      if (!url) return sendFailure(response, unknownPath(), { requestId });
      const exchange = { request, response, requestId, url };
      if (await answerOpen(exchange)) return;
      if (keyHashOf(request) !== settings.adminKeySha256) {
        return sendFailure(response, wrongKey(), { requestId });
      }
      send(await route(exchange), exchange);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn("internal_error", { request: requestId, reason });
      sendFailure(response, internalError(), { requestId });
    }
  }

  /** Health and metrics need no key: balancers and scrapers have none. */
  async function answerOpen({ url, response }: Exchange): Promise<boolean> {
    if (url.pathname === "/healthz") {
      sendJson(response, 200, { body: { alive: true } });
    } else if (url.pathname === "/readyz") {
      const ready = options.isReady();
      sendJson(response, ready ? 200 : 503, { body: { ready } });
    } else if (url.pathname === "/metrics") {
      const { registry } = options.metrics;
      response.setHeader("content-type", registry.contentType);
      response.end(await registry.metrics());
    } else {
      return false;
    }
    return true;
  }

  async function route(exchange: Exchange): Promise<Reply> {
    const { request, response, url } = exchange;
    const found = routes.filter(({ path }) => path.test(url.pathname));
    if (found.length === 0) return { failure: unknownPath() };
    const chosen = found.find(({ method }) => method === request.method);
    if (!chosen) {
      const allowed = found.map(({ method }) => method).join(", ");
      response.setHeader("allow", allowed);
      return { failure: wrongMethod(allowed) };
    }
    return chosen.run(exchange, chosen.path.exec(url.pathname)?.[1] ?? "");
  }

  async function history(): Promise<Reply> {
    const notes = await publisher.history();
    return notes ? ok({ notes }) : { failure: storeAway("the history") };
  }

  async function showNote(_: Exchange, word: string): Promise<Reply> {
    const number = Number(word);
    const record = await publisher.find(number);
    if (record === undefined) return { failure: storeAway("the history") };
    return record ? ok(record) : { failure: unknownNote(number) };
  }

  async function publish(exchange: Exchange): Promise<Reply> {
    const note = await readNote(exchange);
    if (note.kind === "refused") return { failure: note.failure };
    const result = await publisher.publish(note.note);
    return publishReply(result, exchange.requestId);
  }

  async function check(exchange: Exchange): Promise<Reply> {
    const note = await readNote(exchange);
    if (note.kind === "refused") return { failure: note.failure };
    return ok(inspector.check(note.note));
  }

  async function diff({ url }: Exchange, from: string): Promise<Reply> {
    const query = diffQuerySchema.safeParse(queryOf(url));
    if (!query.success) return { failure: badQuery("?to=NUMBER") };
    const result = await inspector.diff(Number(from), query.data.to);
    switch (result.kind) {
      case "diff":
        return ok(result.diff);
      case "missing":
        return { failure: unknownNote(result.number) };
      case "unavailable":
        return { failure: storeAway("the history") };
    }
  }

  async function explain({ url }: Exchange): Promise<Reply> {
    const query = explainQuerySchema.safeParse(queryOf(url));
    const expected = "?model=NAME, ?model=NAME&adapter=NAME or ?service=NAME";
    if (!query.success) return { failure: badQuery(expected) };
    const { data } = query;
    const subject =
      "model" in data
        ? ({ kind: "model", name: data.model, adapter: data.adapter } as const)
        : ({ kind: "service", name: data.service } as const);
    return ok(await inspector.explain(subject));
  }

  async function showRequest(_: Exchange, requestId: string): Promise<Reply> {
    const trace = await options.findRequest(requestId);
    if (trace.records.length > 0) return ok(trace);
    return { failure: unknownRequest(trace.silent) };
  }

  async function readNote(
    exchange: Exchange,
  ): Promise<
    | { readonly kind: "note"; readonly note: ReleaseNote }
    | { readonly kind: "refused"; readonly failure: CallFailure }
  > {
    const badType = checkJsonType(exchange.request);
    if (badType) return { kind: "refused", failure: badType };
    const limit = settings.limits.bodyBytes;
    const result = await readBody(exchange, { limit, memory, sender: SENDER });
    if (result.kind === "refused") return result;
    const note = result.kind === "body" ? parseNote(result.body) : "cut off";
    return typeof note === "string"
      ? { kind: "refused", failure: badNote(note) }
      : { kind: "note", note };
  }

  const { server } = await startServer(settings.instance.addresses.admin, {
    limits: settings.limits,
    memories,
    handle: (request, response) => void handle(request, response),
  });
  return server;
}

function ok(body: unknown): Reply {
  return { status: 200, body };
}

function send(reply: Reply, { response, requestId }: Exchange): void {
  if ("failure" in reply) {
    return sendFailure(response, reply.failure, { requestId });
  }
  const { status, body } = reply;
  sendJson(response, status, { body, headers: { "x-request-id": requestId } });
}

/** `null` for what is no path of this server, such as `//` or `*`. */
function parseUrl(text: string | undefined): URL | null {
  if (!text?.startsWith("/") || text.startsWith("//")) return null;
  return new URL(text, "http://admin");
}

function queryOf(url: URL): Record<string, string> {
  return Object.fromEntries(url.searchParams);
}

function parseNote(body: Buffer): ReleaseNote | string {
  try {
    const parsed = releaseNoteSchema.safeParse(JSON.parse(body.toString()));
    if (parsed.success) return parsed.data;
    return z.prettifyError(parsed.error).slice(0, LARGEST_EXPLANATION);
  } catch {
    return "the body is not JSON";
  }
}
