/** Stand-in of the platform's object API, in memory. */
import type { Server, ServerResponse } from "node:http";
import { type JsonExchange, reply, startJsonServer } from "./http_json.ts";
import {
  createFaults,
  createRateLimit,
  replyOrSpoil,
  takeFault,
} from "./object_api_faults.ts";

export type { ObjectApiFaults } from "./object_api_faults.ts";

const WATCH_HOLD_MS = 25_000;
const LARGEST_VALUE_BYTES = 1_048_576;

const OPERATIONS: Readonly<Record<string, string>> = {
  PUT: "write",
  DELETE: "remove",
};

interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

interface Watcher {
  readonly prefix: string;
  readonly since: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Starts the object API with nothing in it. */
export function startObjectApi(options: {
  readonly host: string;
  readonly port: number;
}): Promise<Server> {
  const objects = new Map<string, StoredEntry>();
  const watchers = new Set<Watcher>();
  const faults = createFaults();
  const rateLimit = createRateLimit(faults);
  const counts: Record<string, number> = {};
  let revision = 0;

  async function handle(exchange: JsonExchange): Promise<void> {
    const { method, url, response } = exchange;
    if (url.pathname === "/faults") return setFaults(exchange);
    if (url.pathname === "/counts") return reply(response, 200, counts);
    count("calls");
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (faults.down) return reply(response, 503, { error: "down" });
    if (!rateLimit.admits()) return reply(response, 429, { error: "rate" });
    if (url.pathname === "/watch") return watch(exchange);
    if (url.pathname === "/objects") return list(exchange);
    const key = keyOf(url);
    if (key === null) return answer(response, 404, { error: "no such path" });
    count(OPERATIONS[method] ?? "read");
    if (method === "PUT") return write(key, exchange);
    if (method === "DELETE") return remove(key, exchange);
    const found = objects.get(key);
    return found
      ? answer(response, 200, found)
      : answer(response, 404, { error: "no such object" });
  }

  function answer(response: ServerResponse, status: number, body: unknown) {
    replyOrSpoil(faults, response, { status, body });
  }

  function setFaults({ body, response }: JsonExchange): void {
    Object.assign(faults, body);
    if (faults.down) for (const watcher of watchers) end(watcher, 503);
    reply(response, 200, faults);
  }

  function list({ url, response }: JsonExchange): void {
    count("list");
    const prefix = url.searchParams.get("prefix") ?? "";
    answer(response, 200, { objects: below(prefix, 0) });
  }

  function watch({ url, response }: JsonExchange): void {
    count("watch");
    const prefix = url.searchParams.get("prefix") ?? "";
    const since = Number(url.searchParams.get("since") ?? 0);
    const timer = setTimeout(() => end(watcher, 200), WATCH_HOLD_MS);
    const watcher: Watcher = { prefix, since, response, timer };
    watchers.add(watcher);
    response.once("close", () => {
      clearTimeout(timer);
      watchers.delete(watcher);
    });
    if (below(prefix, since).length > 0) end(watcher, 200);
  }

  function end(watcher: Watcher, status: number): void {
    clearTimeout(watcher.timer);
    watchers.delete(watcher);
    const { prefix, since, response } = watcher;
    const found = faults.repeatChanges
      ? below(prefix, 0).sort((a, b) => b.version - a.version)
      : below(prefix, since);
    answer(response, status, { objects: found, revision });
  }

  function below(prefix: string, since: number): StoredEntry[] {
    return [...objects.values()].filter(
      ({ key, version }) => key.startsWith(prefix) && version > since,
    );
  }

  function remove(key: string, { request, response }: JsonExchange): void {
    const actual = objects.get(key) ?? null;
    const wanted = Number(request.headers["if-match"] ?? Number.NaN);
    if (actual?.version !== wanted) return answer(response, 412, { actual });
    objects.delete(key);
    answer(response, 200, {});
  }

  function write(key: string, exchange: JsonExchange): void {
    const { request, response, body, text } = exchange;
    if (Buffer.byteLength(text) > LARGEST_VALUE_BYTES) {
      return answer(response, 413, { error: "value too large" });
    }
    const actual = objects.get(key) ?? null;
    const wantsNone = request.headers["if-none-match"] === "*";
    const wanted = Number(request.headers["if-match"] ?? Number.NaN);
    const matches = wantsNone ? actual === null : actual?.version === wanted;
    if (!matches) return answer(response, 412, { actual });
    revision += 1;
    objects.set(key, { key, value: body, version: revision });
    tellWatchers(key);
    if (takeFault(faults, "loseReplies")) {
      response.destroy();
      return;
    }
    if (takeFault(faults, "failAfterEffect")) {
      return reply(response, 503, { error: "failed after writing" });
    }
    answer(response, 200, { version: revision });
  }

  /** A jumped change moves the watchers on without telling them of it. */
  function tellWatchers(key: string): void {
    if (takeFault(faults, "skipChanges")) return;
    const jumped = takeFault(faults, "jumpChanges");
    for (const watcher of watchers) {
      if (!key.startsWith(watcher.prefix)) continue;
      end(jumped ? { ...watcher, since: revision } : watcher, 200);
      watchers.delete(watcher);
    }
  }

  function count(operation: string): void {
    counts[operation] = (counts[operation] ?? 0) + 1;
  }

  return startJsonServer({ ...options, handle });
}

function keyOf(url: URL): string | null {
  const prefix = "/objects/";
  if (!url.pathname.startsWith(prefix)) return null;
  return url.pathname
    .slice(prefix.length)
    .split("/")
    .map(decodeURIComponent)
    .join("/");
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
