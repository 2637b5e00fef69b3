/** A small JSON server that all stand-ins use. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";

/** Answers one request; throwing answers 500. */
export type JsonHandler = (exchange: JsonExchange) => Promise<void> | void;

export interface JsonExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  readonly url: URL;
  /** The parsed body, or `undefined` when there is none. */
  readonly body: unknown;
  /** The body as it came. */
  readonly text: string;
}

/** Starts a server on a port of `host`. */
export async function startJsonServer(options: {
  readonly host: string;
  readonly port: number;
  readonly handle: JsonHandler;
}): Promise<Server> {
  const server = createServer((request, response) => {
    void answer(request, response, options.handle);
  });
  server.keepAliveTimeout = 30_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  return server;
}

/** Sends a JSON answer. */
export function reply(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

async function answer(
  request: IncomingMessage,
  response: ServerResponse,
  handle: JsonHandler,
): Promise<void> {
  try {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? undefined : JSON.parse(text);
    const url = new URL(request.url ?? "/", "http://stand-in");
    const method = request.method ?? "GET";
    await handle({ request, response, method, url, body, text });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    reply(response, 500, { error: reason });
  }
}
