/** The administration API, metrics and health. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { badCall, type CallFailure, notRun } from "@rosemarypin/calls";
import type { Publisher, PublishResult } from "@rosemarypin/release";
import {
  type NoteStatus,
  releaseNoteSchema,
  type Settings,
  type Status,
} from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import { z } from "zod";
import { keyHashOf } from "./authentication.ts";
import { readBody, sendFailure, sendJson, startServer } from "./http_basics.ts";

const STORE_RETRY_SECONDS = 5;
const REQUEST_ID = "admin";

export interface AdminServerOptions {
  readonly settings: Settings;
  readonly metrics: Metrics;
  readonly publisher: Publisher;
  readonly status: () => Promise<Status>;
  readonly noteStatus: (number: number) => Promise<NoteStatus>;
  readonly isReady: () => boolean;
  readonly drain: () => void;
}

/** Starts to answer at the administrators' address. */
export function startAdminServer(options: AdminServerOptions): Promise<Server> {
  const { settings, publisher } = options;

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    if (await answerOpen(path, response)) return;
    if (keyHashOf(request) !== settings.adminKeySha256) {
      return sendFailure(response, wrongKey(), { requestId: REQUEST_ID });
    }
    await route(request, response, path);
  }

  /** Health and metrics need no key: balancers and scrapers have none. */
  async function answerOpen(
    path: string,
    response: ServerResponse,
  ): Promise<boolean> {
    if (path === "/healthz") {
      sendJson(response, 200, { body: { alive: true } });
    } else if (path === "/readyz") {
      const ready = options.isReady();
      sendJson(response, ready ? 200 : 503, { body: { ready } });
    } else if (path === "/metrics") {
      const { registry } = options.metrics;
      response.setHeader("content-type", registry.contentType);
      response.end(await registry.metrics());
    } else {
      return false;
    }
    return true;
  }

  async function route(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> {
    const call = `${request.method} ${path}`;
    const statusMatch = /^GET \/v1\/notes\/(\d+)\/status$/.exec(call);
    if (statusMatch) {
      const body = await options.noteStatus(Number(statusMatch[1]));
      return sendJson(response, 200, { body });
    }
    switch (call) {
      case "GET /v1/status":
        return sendJson(response, 200, { body: await options.status() });
      case "GET /v1/notes":
        return history(response);
      case "POST /v1/notes":
        return publish(request, response);
      case "POST /v1/drain":
        options.drain();
        return sendJson(response, 202, { body: { draining: true } });
      default:
        return fail(response, unknownPath(call));
    }
  }

  async function history(response: ServerResponse): Promise<void> {
    const notes = await publisher.history();
    if (!notes) return fail(response, storeAway("the history"));
    sendJson(response, 200, { body: { notes } });
  }

  async function publish(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const result = await readBody(request, settings.limits.bodyBytes);
    if (result.kind !== "body") return fail(response, badNote("too large"));
    const parsed = parseNote(result.body);
    if (typeof parsed === "string") return fail(response, badNote(parsed));
    sendPublished(response, await publisher.publish(parsed));
  }

  return startServer(settings.instance.addresses.admin, {
    limits: settings.limits,
    handle: (request, response) => void handle(request, response),
  });
}

function sendPublished(response: ServerResponse, result: PublishResult): void {
  switch (result.kind) {
    case "recorded": {
      const { number } = result.record;
      const { repeated } = result;
      const body = { number, phase: "recorded", repeated };
      return sendJson(response, 201, { body });
    }
    case "conflict":
      return sendJson(response, 409, {
        body: {
          error: {
            outcome: "failed",
            code: "conflict",
            message: `note ${result.head?.number ?? 0} came first; look at it and publish again`,
            requestId: REQUEST_ID,
          },
          head: result.head,
        },
      });
    case "invalid": {
      const lines = result.problems.map(
        ({ line, message }) => `${line}: ${message}`,
      );
      return fail(response, badNote(lines.join("; ")));
    }
    case "unavailable":
      return fail(response, storeAway("the note"));
    case "unknown":
      return fail(response, {
        outcome: "outcome_unknown",
        code: "publish_unknown",
        status: 504,
        message: `${result.detail}; publish the same file again, with the same publish id`,
        retryAfterSeconds: STORE_RETRY_SECONDS,
      });
  }
}

function parseNote(body: Buffer) {
  try {
    const parsed = releaseNoteSchema.safeParse(JSON.parse(body.toString()));
    return parsed.success ? parsed.data : z.prettifyError(parsed.error);
  } catch {
    return "the body is not JSON";
  }
}

function fail(response: ServerResponse, failure: CallFailure): void {
  sendFailure(response, failure, { requestId: REQUEST_ID });
}

function badNote(message: string): CallFailure {
  return badCall("bad_note", { message, status: 422 });
}

function wrongKey(): CallFailure {
  return badCall("wrong_key", {
    message: "send the administrators' key as 'authorization: Bearer KEY'",
    status: 401,
  });
}

function unknownPath(call: string): CallFailure {
  return badCall("unknown_path", { message: `no ${call} here`, status: 404 });
}

function storeAway(what: string): CallFailure {
  return notRun("store_unavailable", {
    message: `the platform's store cannot be reached, so ${what} was not touched; try again`,
    retryAfterSeconds: STORE_RETRY_SECONDS,
  });
}
