/** Answers the balancer's questions, and serves metrics. */
import { createServer, type Server } from "node:http";
import type { Registry } from "prom-client";

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

/** Serves the metrics as text at `/metrics`. */
export function createMetricsServer(registry: Registry): Server {
  return createServer(async (request, response) => {
    if (request.url !== "/metrics") {
      response.writeHead(404).end();
      return;
    }
    const text = await registry.metrics();
    response.writeHead(200, { "Content-Type": registry.contentType }).end(text);
  });
}
