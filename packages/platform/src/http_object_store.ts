/** Client of the object API over HTTP. */
import type { Metrics } from "@rosemarypin/telemetry";
import { Agent, errors, request } from "undici";
import type {
  ObjectStore,
  StoreCallOptions,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchBatch,
} from "./object_store.ts";

/** How long a read or write may take before its reply counts as lost. */
const CALL_TIMEOUT_MS = 2_000;
/** How long the store holds a watch open; the client waits a little longer. */
const WATCH_TIMEOUT_MS = 30_000;

export interface HttpObjectStoreOptions {
  readonly url: string;
  /** Calls a second, on average; a second's worth may go at once. */
  readonly callsPerSecond: number;
  readonly metrics?: Metrics;
}

interface RawResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Creates a client of the object API at `url`. */
export function createHttpObjectStore(
  options: HttpObjectStoreOptions,
): ObjectStore {
  const agent = new Agent({ connect: { timeout: 1_000 }, connections: 32 });
  const budget = createCallBudget(options.callsPerSecond);

  async function call(
    operation: string,
    path: string,
    init: CallInit,
  ): Promise<StoreResult<RawResponse>> {
    const waitMs = budget.take();
    if (waitMs > 0) {
      count(operation, "over_budget");
      return { kind: "over_budget", retryAfterMs: waitMs };
    }
    const result = await send(agent, new URL(path, options.url), init);
    count(operation, result.kind);
    return result;
  }

  function count(operation: string, result: string): void {
    options.metrics?.storeCalls.inc({ operation, result });
  }

  return {
    async read(key, callOptions = {}) {
      const result = await call("read", objectPath(key), {
        method: "GET",
        ...callOptions,
      });
      if (result.kind !== "ok") return result;
      if (result.value.status === 404) return { kind: "ok", value: null };
      return { kind: "ok", value: result.value.body as StoredObject };
    },
    async list(prefix, callOptions = {}) {
      const query = new URLSearchParams({ prefix });
      const result = await call("list", `/objects?${query}`, {
        method: "GET",
        ...callOptions,
      });
      if (result.kind !== "ok") return result;
      const body = result.value.body as { objects: StoredObject[] };
      return { kind: "ok", value: body.objects };
    },
    async write(key, value, { expectedVersion, ...callOptions }) {
      const condition: Record<string, string> =
        expectedVersion === null
          ? { "if-none-match": "*" }
          : { "if-match": String(expectedVersion) };
      const result = await call("write", objectPath(key), {
        method: "PUT",
        headers: condition,
        body: JSON.stringify(value),
        ...callOptions,
      });
      if (result.kind !== "ok") return result;
      if (result.value.status === 412) {
        const body = result.value.body as { actual: StoredObject | null };
        return { kind: "conflict", actual: body.actual };
      }
      const written = result.value.body as { version: number };
      return { kind: "ok", value: written.version };
    },
    async remove(key, { expectedVersion, ...callOptions }) {
      const result = await call("remove", objectPath(key), {
        method: "DELETE",
        headers: { "if-match": String(expectedVersion) },
        ...callOptions,
      });
      if (result.kind !== "ok") return result;
      if (result.value.status === 412) {
        const body = result.value.body as { actual: StoredObject | null };
        return { kind: "conflict", actual: body.actual };
      }
      return { kind: "ok", value: null };
    },
    async watch(prefix, { since, ...callOptions }) {
      const query = new URLSearchParams({ prefix, since: String(since) });
      const result = await call("watch", `/watch?${query}`, {
        method: "GET",
        timeoutMs: WATCH_TIMEOUT_MS + CALL_TIMEOUT_MS,
        ...callOptions,
      });
      if (result.kind !== "ok") return result;
      return { kind: "ok", value: result.value.body as WatchBatch };
    },
  };
}

interface CallInit extends StoreCallOptions {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMs?: number;
}

async function send(
  agent: Agent,
  url: URL,
  init: CallInit,
): Promise<StoreResult<RawResponse>> {
  const timeout = AbortSignal.timeout(init.timeoutMs ?? CALL_TIMEOUT_MS);
  const signal = init.signal
    ? AbortSignal.any([init.signal, timeout])
    : timeout;
  try {
    const response = await request(url, {
      dispatcher: agent,
      method: init.method,
      headers: { "content-type": "application/json", ...init.headers },
      body: init.body ?? null,
      signal,
    });
    const body = await response.body.json();
    if (response.statusCode >= 500 || response.statusCode === 429) {
      return {
        kind: "unavailable",
        detail: `the store answered ${response.statusCode}`,
      };
    }
    return { kind: "ok", value: { status: response.statusCode, body } };
  } catch (error) {
    return classify(error, init.method);
  }
}

/**
 * A call that never got a connection had no effect. Any other broken write
 * may have taken effect: the store can lose its answer after writing.
 */
function classify(error: unknown, method: CallInit["method"]): StoreFailure {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as { code?: string }).code;
  const neverSent =
    error instanceof errors.ConnectTimeoutError || code === "ECONNREFUSED";
  if (method === "GET" || neverSent) return { kind: "unavailable", detail };
  return { kind: "reply_lost", detail };
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

/** Counts calls against a rate; a second's worth may be saved up. */
function createCallBudget(callsPerSecond: number) {
  let left = callsPerSecond;
  let filledAt = performance.now();
  return {
    /** Takes one call, or gives the wait in milliseconds until one is free. */
    take(): number {
      const now = performance.now();
      const filled = left + ((now - filledAt) / 1_000) * callsPerSecond;
      left = Math.min(callsPerSecond, filled);
      filledAt = now;
      if (left < 1) return Math.ceil(((1 - left) / callsPerSecond) * 1_000);
      left -= 1;
      return 0;
    },
  };
}
