/** Requests between instances: JSON-RPC 2.0 over HTTP with keep-alive. */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
} from "node:http";
import { createBodyBuffer, paceServer } from "@rosemarypin/connections";
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { withPatientTimeout } from "@rosemarypin/timing";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { Agent } from "undici";

const CALL_TIMEOUT_MS = 1_000;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Size limit of a result, such as a copy of all objects of the store. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/** Requests of callers, with headers of up to 64 KB, may come through peers. */
const MAX_HEADER_BYTES = 72 * 1024;
/** Beyond these, connections of peers without a request are closed. */
const MAX_CONNECTIONS = 512;
const PARSE_ERROR = -32_700;
/** Hosts that bind all addresses of the machine. */
const WILDCARD_HOSTS = new Set(["0.0.0.0", "::"]);

/** Reason why a call to a peer gave no result. */
export type PeerFailure =
  /** The connection was refused: the process at the address has ended. */
  | { readonly kind: "refused" }
  /** No answer; the peer may be paused, partitioned or stopped. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The peer answered with an error. */
  | { readonly kind: "rejected"; readonly detail: string };

export type PeerResult =
  | { readonly kind: "ok"; readonly value: unknown }
  | PeerFailure;

/** Handlers by method name; each checks its own parameters. */
export type PeerMethods = Readonly<
  Record<string, (params: unknown) => Promise<unknown> | unknown>
>;

/** Requests of peers that aren't calls of a method. */
export interface PeerRequests {
  /** Name of a header that only these requests have, in lower case. */
  readonly header: string;
  readonly handle: RequestListener;
}

/** Encoded results that several calls share; `null` until the first. */
const sharedEncodings = new WeakMap<object, string | null>();

/**
 * Marks a result that several calls return, so that the server encodes it once.
 * It must not be changed afterwards.
 */
export function shareEncoding<Result extends object>(result: Result): Result {
  sharedEncodings.set(result, null);
  return result;
}

/** Starts the server for requests of peers. */
export async function startPeerServer(
  address: Address,
  methods: PeerMethods,
  requests?: PeerRequests,
): Promise<Server> {
  const rpc = new JSONRPCServer();
  for (const [name, handler] of Object.entries(methods)) {
    rpc.addMethod(name, handler);
  }
  const options = { maxHeaderSize: MAX_HEADER_BYTES };
  const server = createServer(options, async (incoming, outgoing) => {
    if (requests && incoming.headers[requests.header] !== undefined)
      return requests.handle(incoming, outgoing);
    const text = await answerCall(rpc, incoming);
    outgoing.setHeader("content-type", "application/json");
    outgoing.end(text);
  });
  paceServer(server, { maxConnections: MAX_CONNECTIONS });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
  return server;
}

function encodeAnswer(answer: JSONRPCResponse | null): string {
  const result: unknown = answer?.result;
  if (!answer || typeof result !== "object" || result === null)
    return JSON.stringify(answer);
  const shared = sharedEncodings.get(result);
  if (shared === undefined) return JSON.stringify(answer);
  const encoded = shared ?? JSON.stringify(result);
  sharedEncodings.set(result, encoded);
  const { jsonrpc, id } = answer;
  const head = JSON.stringify({ jsonrpc, id }).slice(0, -1);
  return `${head},"result":${encoded}}`;
}

async function answerCall(
  rpc: JSONRPCServer,
  incoming: IncomingMessage,
): Promise<string> {
  try {
    const body = await readBody(incoming);
    return encodeAnswer(await rpc.receive(JSON.parse(body) as JSONRPCRequest));
  } catch {
    return JSON.stringify(
      createJSONRPCErrorResponse(null, PARSE_ERROR, "Parse error"),
    );
  }
}

async function readBody(incoming: IncomingMessage): Promise<string> {
  const body = createBodyBuffer(MAX_BODY_BYTES);
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    if (body.length() + chunk.length > MAX_BODY_BYTES)
      throw new Error("body too large");
    body.add(chunk);
  }
  return body.content().toString();
}

/** Calls methods of other instances. */
export interface PeerCaller {
  call(
    address: Address,
    method: string,
    options?: { readonly params?: unknown; readonly timeoutMs?: number },
  ): Promise<PeerResult>;
}

/**
 * Creates a caller with a connection pool for each peer. Its connections use
 * `host` as local address, as the datagrams of this instance do, so that
 * network filters see the instance at one address.
 */
export function createPeerCaller(host: string): PeerCaller {
  const agents = new Map<string, Agent>();

  function agentOf(origin: string): Agent {
    const existing = agents.get(origin);
    if (existing) return existing;
    const agent = new Agent({
      connect: { timeout: CALL_TIMEOUT_MS },
      maxResponseSize: MAX_ANSWER_BYTES,
      ...(WILDCARD_HOSTS.has(host) ? {} : { localAddress: host }),
    });
    agents.set(origin, agent);
    return agent;
  }

  /**
   * A timeout may be due to connections that went silent without being closed,
   * and the idle ones beside it would fail the next calls as well.
   */
  function replaceConnections(origin: string, agent: Agent): void {
    if (agents.get(origin) !== agent) return;
    agents.delete(origin);
    // Calls in progress end as usual.
    void agent.close();
  }

  return {
    async call(address, method, options = {}) {
      const timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
      const origin = `http://${formatAddress(address)}`;
      const agent = agentOf(origin);
      let transportError: unknown;
      const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
        try {
          const answer = await withPatientTimeout(
            { timeoutMs },
            async (signal) => {
              const response = await agent.request({
                origin,
                path: "/",
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(payload),
                signal,
              });
              return response.body.json();
            },
          );
          client.receive(answer as never);
          // An answer to another call would leave this one waiting for good.
          client.rejectAllPendingRequests("no answer to the call");
        } catch (error) {
          // The client replaces the error by one of its own.
          transportError = error;
          throw error;
        }
      });
      try {
        const value = await client.request(method, options.params ?? {});
        return { kind: "ok", value };
      } catch (error) {
        const failure = classify(transportError ?? error);
        // Also drops the pools of peers that have ended.
        if (failure.kind !== "rejected") replaceConnections(origin, agent);
        return failure;
      }
    },
  };
}

function classify(error: unknown): PeerFailure {
  const code = (error as { code?: unknown }).code;
  const detail = error instanceof Error ? error.message : String(error);
  if (code === "ECONNREFUSED") return { kind: "refused" };
  if (typeof code === "number" && code <= 0)
    return { kind: "rejected", detail };
  return { kind: "unreachable", detail };
}
