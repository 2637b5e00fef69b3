/** HTTP servers for the load balancer's readiness checks and for operators. */
import { createServer, type Server } from "node:http";
import type { Registry } from "prom-client";
import type { Administration } from "./administration.ts";

/** Answers `path` with 200 if ready, else 503; other paths with 404. */
export function createReadinessServer(options: {
  readonly path: string;
  readonly isReady: () => boolean;
}): Server {
  return createServer((request, response) => {
    const isReadinessPath = request.url === options.path;
    response.writeHead(isReadinessPath ? (options.isReady() ? 200 : 503) : 404);
    response.end();
  });
}

/** Serves metrics as text at `/metrics`, and the administration API. */
export function createOperatorsServer(
  registry: Registry,
  administration: Administration,
): Server {
  return createServer(async (request, response) => {
    const url = parseUrl(request.url ?? "/");
    if (url?.pathname === "/metrics") {
      const text = await registry.metrics();
      const headers = { "Content-Type": registry.contentType };
      response.writeHead(200, headers).end(text);
      return;
    }
    const isGetRequest = url !== null && request.method === "GET";
    const answer = isGetRequest ? administration(url) : null;
    if (!answer) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(answer.status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(answer.body));
  });
}

/** Returns `null` for an invalid path; an exception would end the process. */
function parseUrl(path: string): URL | null {
  const base = "http://instance";
  return URL.canParse(path, base) ? new URL(path, base) : null;
}
