/** Stand-in of the platform's balancer before the entry instances. */
import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Address } from "@rosemarypin/schemas";

const CHECK_TIMEOUT_MS = 500;
const OK = 200;
const NO_INSTANCE = 503;
const BAD_GATEWAY = 502;

/** An entry instance as the balancer sees it. */
export interface BalancedInstance {
  readonly callers: Address;
  readonly admin: Address;
}

/**
 * Starts to hand each request to the next ready instance, once.
 *
 * Readiness is asked for at intervals, so the balancer goes on to use an
 * instance for a while after it became unready. It never repeats a request:
 * one that its instance drops is lost, and the caller sees it.
 */
export async function startBalancer(options: {
  readonly host: string;
  readonly port: number;
  readonly instances: readonly BalancedInstance[];
  readonly checkEveryMs: number;
}): Promise<Server> {
  const agent = new Agent({ keepAlive: true });
  const ready = new Set<BalancedInstance>();
  let turn = 0;

  function check(instance: BalancedInstance): void {
    const { host, port } = instance.admin;
    const asked = request({ host, port, path: "/readyz" }, (response) => {
      response.resume();
      if (response.statusCode === OK) ready.add(instance);
      else ready.delete(instance);
    });
    asked.setTimeout(CHECK_TIMEOUT_MS, () => asked.destroy());
    asked.on("error", () => ready.delete(instance));
    asked.end();
  }

  function choose(): BalancedInstance | undefined {
    turn += 1;
    return [...ready][turn % Math.max(1, ready.size)];
  }

  function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const instance = choose();
    if (!instance) {
      outgoing.writeHead(NO_INSTANCE).end();
      return;
    }
    const { host, port } = instance.callers;
    const { method = "GET", url: path = "/", headers } = incoming;
    const passed = { ...headers, connection: "keep-alive" };
    const onward = request(
      { agent, host, port, method, path, headers: passed },
      (answer) => passBack(answer, outgoing),
    );
    onward.on("error", () => {
      if (outgoing.headersSent) outgoing.destroy();
      else outgoing.writeHead(BAD_GATEWAY).end();
    });
    outgoing.on("close", () => onward.destroy());
    incoming.pipe(onward);
  }

  for (const instance of options.instances) {
    check(instance);
    setInterval(() => check(instance), options.checkEveryMs);
  }
  const server = createServer(handle);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  return server;
}

function passBack(answer: IncomingMessage, outgoing: ServerResponse): void {
  const { connection: _connection, ...headers } = answer.headers;
  const marksItsEnd =
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (!marksItsEnd) outgoing.useChunkedEncodingByDefault = false;
  outgoing.writeHead(answer.statusCode ?? BAD_GATEWAY, headers);
  answer.on("aborted", () => outgoing.destroy());
  answer.pipe(outgoing);
}
