/** Answers the balancer's questions, and serves metrics. */
import { createServer, type Server } from "node:http";
import type { Registry } from "prom-client";
import type { Administration } from "./administration.ts";

/** Tells whether new connections may come; any other path is unknown. */
export function createReadinessServer(options: {
  readonly path: string;
  readonly isReady: () => boolean;
}): Server {
  return createServer((request, response) => {
    const isKnown = request.url === options.path;
    response.writeHead(isKnown ? (options.isReady() ? 200 : 503) : 404);
    response.end();
  });
}

/** Serves the metrics as text at `/metrics`, and the administration API. */
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
    const isAsked = url !== null && request.method === "GET";
    const answer = isAsked ? administration(url) : null;
    if (!answer) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(answer.status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(answer.body));
  });
}

/** `null` for what is no path; an error here would end the process. */
function parseUrl(path: string): URL | null {
  const base = "http://instance";
  return URL.canParse(path, base) ? new URL(path, base) : null;
}
