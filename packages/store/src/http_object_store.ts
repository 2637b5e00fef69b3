/** Client of the object API over HTTP. */
import type { Metrics } from "@rosemarypin/telemetry";
import { Agent } from "undici";
import { z } from "zod";
import { createCallBudget } from "./call_budget.ts";
import { createCallTurns } from "./call_turns.ts";
import type { ObjectStore, StoreResult } from "./object_store.ts";
import { createStoreBreaker } from "./store_breaker.ts";
import {
  CALL_TIMEOUT_MS,
  noAnswer,
  type StoreAnswer,
  type StoreMethod,
  type StoreRequest,
  sendRequest,
} from "./store_request.ts";

/** How long the store holds a watch open; the client waits a little longer. */
const WATCH_TIMEOUT_MS = 30_000;
/** The largest value that the object API takes. */
const LARGEST_VALUE_BYTES = 1_048_576;
/** Read to find out whether the store is back; need not exist. */
const PROBE_PATH = "/objects/rosemarypin/probe";

const objectSchema = z.object({
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
});
const listSchema = z.object({ objects: z.array(objectSchema) });
const conflictSchema = z.object({ actual: objectSchema.nullable() });
const writtenSchema = z.object({ version: z.number() });
const batchSchema = z.object({
  objects: z.array(objectSchema),
  revision: z.number(),
});

export interface HttpObjectStoreOptions {
  readonly url: string;
  /** Calls a second, on average; a second's worth may go at once. */
  readonly callsPerSecond: number;
  /** Size of the fleet, over which returns to the store are spread. */
  readonly instances?: () => number;
  readonly metrics?: Metrics;
}

/** Creates a client of the object API at `url`. */
export function createHttpObjectStore(
  options: HttpObjectStoreOptions,
): ObjectStore {
  const agent = new Agent({ connect: { timeout: 1_000 }, connections: 32 });
  const turns = createCallTurns(createCallBudget(options.callsPerSecond));
  const breaker = createStoreBreaker({
    instances: options.instances ?? (() => 1),
    probe: async () => {
      const url = new URL(PROBE_PATH, options.url);
      const outcome = await sendRequest(agent, url, { method: "GET" });
      count("probe", outcome.result.kind);
      return outcome;
    },
  });

  async function call(
    operation: string,
    path: string,
    init: StoreRequest,
  ): Promise<StoreResult<StoreAnswer>> {
    if (!(await breaker.admits())) return notSent(operation);
    const waitMs = await turns.take({
      urgency: init.urgency ?? "control",
      longestWaitMs: init.longestWaitMs ?? 0,
    });
    if (waitMs > 0) {
      count(operation, "over_budget");
      return { kind: "over_budget", retryAfterMs: waitMs };
    }
    // The store may have gone away during a long wait for the turn; a write
    // must not be what finds out whether it is back.
    if (!(await breaker.admits())) return notSent(operation);
    const url = new URL(path, options.url);
    const { result } = await breaker.run(() => sendRequest(agent, url, init));
    count(operation, result.kind);
    return result;
  }

  function notSent(operation: string): StoreResult<never> {
    count(operation, "not_sent");
    return { kind: "unavailable", detail: "the store is away; not sent" };
  }

  function count(operation: string, result: string): void {
    options.metrics?.storeCalls.inc({ operation, result });
  }

  return {
    async read(key, callOptions = {}) {
      const request = { method: "GET", ...callOptions } as const;
      const result = await call("read", objectPath(key), request);
      if (result.kind === "ok" && result.value.status === 404) {
        return { kind: "ok", value: null };
      }
      return parseWith(objectSchema, result);
    },
    async list(prefix, callOptions = {}) {
      const query = new URLSearchParams({ prefix });
      const request = { method: "GET", ...callOptions } as const;
      const result = await call("list", `/objects?${query}`, request);
      const parsed = parseWith(listSchema, result);
      if (parsed.kind !== "ok") return parsed;
      return { kind: "ok", value: parsed.value.objects };
    },
    async write(key, value, { expectedVersion, ...callOptions }) {
      const body = JSON.stringify(value);
      const bytes = Buffer.byteLength(body);
      // Sent all the same, a value too large would cost its transfer on each
      // retry, and a store that cuts it short would look like a lost reply.
      if (bytes > LARGEST_VALUE_BYTES) return { kind: "too_large", bytes };
      const headers = conditionFor(expectedVersion);
      const request = { method: "PUT", headers, body, ...callOptions } as const;
      const result = await call("write", objectPath(key), request);
      if (result.kind === "ok" && result.value.status === 412) {
        return conflictFrom(result.value.body);
      }
      const written = parseWith(writtenSchema, result, "PUT");
      if (written.kind !== "ok") return written;
      return { kind: "ok", value: written.value.version };
    },
    async remove(key, { expectedVersion, ...callOptions }) {
      const headers = conditionFor(expectedVersion);
      const request = { method: "DELETE", headers, ...callOptions } as const;
      const result = await call("remove", objectPath(key), request);
      if (result.kind === "ok" && result.value.status === 412) {
        return conflictFrom(result.value.body);
      }
      const removed = parseWith(z.unknown(), result, "DELETE");
      return removed.kind === "ok" ? { kind: "ok", value: null } : removed;
    },
    async watch(prefix, { since, ...callOptions }) {
      const query = new URLSearchParams({ prefix, since: String(since) });
      const timeoutMs = WATCH_TIMEOUT_MS + CALL_TIMEOUT_MS;
      const request = { method: "GET", timeoutMs, ...callOptions } as const;
      const result = await call("watch", `/watch?${query}`, request);
      return parseWith(batchSchema, result);
    },
  };
}

function conditionFor(expectedVersion: number | null): Record<string, string> {
  if (expectedVersion === null) return { "if-none-match": "*" };
  return { "if-match": String(expectedVersion) };
}

/** Nothing was written, whether or not the answer says what stands there. */
function conflictFrom(body: unknown): StoreResult<never> {
  const parsed = conflictSchema.safeParse(body);
  if (parsed.success) return { kind: "conflict", actual: parsed.data.actual };
  return { kind: "unavailable", detail: "a conflict without its object" };
}

function parseWith<T>(
  schema: z.ZodType<T>,
  result: StoreResult<StoreAnswer>,
  method: StoreMethod = "GET",
): StoreResult<T> {
  if (result.kind !== "ok") return result;
  const { status, body } = result.value;
  const parsed = status < 400 ? schema.safeParse(body) : undefined;
  if (parsed?.success) return { kind: "ok", value: parsed.data };
  return noAnswer(method, `an answer (${status}) that makes no sense`);
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}
