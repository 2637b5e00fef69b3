/** HTTP servers for the load balancer's readiness checks and for operators. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { paceServer } from "@rosemarypin/connections";
import type { Registry } from "prom-client";
import { readRequestBody } from "../callers/mod.ts";
import { endAfterError, type UnexpectedErrors } from "../unexpected_errors.ts";
import type { Administration, AdministrationAnswer } from "./administration.ts";

const MAX_BODY_BYTES = 4_096;
/** Connections of load balancers, or of operators. */
const MAX_CONNECTIONS = 64;

/** Answers `path` with 200 if ready, else 503; other paths with 404. */
export function createReadinessServer(options: {
  readonly path: string;
  readonly isReady: () => boolean;
}): Server {
  const server = createServer((request, response) => {
    const isReadinessPath = request.url === options.path;
    response.writeHead(isReadinessPath ? (options.isReady() ? 200 : 503) : 404);
    response.end();
  });
  paceServer(server, { maxConnections: MAX_CONNECTIONS });
  return server;
}

/** Serves metrics as text at `/metrics`, and the administration API. */
export function createOperatorsServer(
  registry: Registry,
  {
    administration,
    unexpectedErrors,
  }: {
    readonly administration: Administration;
    readonly unexpectedErrors: UnexpectedErrors;
  },
): Server {
  async function administer(
    request: IncomingMessage,
    url: URL,
  ): Promise<AdministrationAnswer | null> {
    if (request.method === "GET") return administration.get(url);
    if (request.method !== "POST") return null;
    return administration.post(url, await readJson(request));
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = parseUrl(request.url ?? "/");
    if (url?.pathname === "/metrics") {
      const text = await registry.metrics();
      const headers = { "Content-Type": registry.contentType };
      response.writeHead(200, headers).end(text);
      return;
    }
    const answer = url && (await administer(request, url));
    if (!answer) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(answer.status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(answer.body));
  }

  const server = createServer((request, response) => {
    handle(request, response).catch((error: unknown) => {
      unexpectedErrors.record("operators", error);
      endAfterError(response, () => response.writeHead(500).end());
    });
  });
  paceServer(server, { maxConnections: MAX_CONNECTIONS });
  return server;
}

/** Reads a JSON body; `null` if there is none that can be read. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readRequestBody(request, { bodyBytes: MAX_BODY_BYTES });
  if (!Buffer.isBuffer(body)) return null;
  try {
    return JSON.parse(body.toString());
  } catch {
    // Not JSON, which the handler rejects like any other wrong body.
    return null;
  }
}

/** Returns `null` for an invalid path; an exception would end the process. */
function parseUrl(path: string): URL | null {
  const base = "http://instance";
  return URL.canParse(path, base) ? new URL(path, base) : null;
}
