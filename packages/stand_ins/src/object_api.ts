/** Stand-in of the platform's object API, in memory. */
import type { Server, ServerResponse } from "node:http";
import { type JsonExchange, reply, startJsonServer } from "./http_json.ts";

const WATCH_HOLD_MS = 25_000;

const OPERATIONS: Readonly<Record<string, string>> = {
  PUT: "write",
  DELETE: "remove",
};

interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Faults that a test can switch on with `POST /faults`. */
export interface ObjectApiFaults {
  /** Every call is answered 503. */
  down: boolean;
  /** Wait before each answer, in milliseconds. */
  delayMs: number;
  /** So many of the next writes take effect and lose their reply. */
  loseReplies: number;
  /** So many of the next changes are not told to watchers. */
  skipChanges: number;
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
  const faults: ObjectApiFaults = {
    down: false,
    delayMs: 0,
    loseReplies: 0,
    skipChanges: 0,
  };
  const counts: Record<string, number> = {};
  let revision = 0;

  async function handle(exchange: JsonExchange): Promise<void> {
    const { method, url, response } = exchange;
    if (url.pathname === "/faults") return setFaults(exchange);
    if (url.pathname === "/counts") return reply(response, 200, counts);
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (faults.down) return reply(response, 503, { error: "down" });
    if (url.pathname === "/watch") return watch(exchange);
    if (url.pathname === "/objects") return list(exchange);
    const key = keyOf(url);
    if (key === null) return reply(response, 404, { error: "no such path" });
    count(OPERATIONS[method] ?? "read");
    if (method === "PUT") return write(key, exchange);
    if (method === "DELETE") return remove(key, exchange);
    const found = objects.get(key);
    return found
      ? reply(response, 200, found)
      : reply(response, 404, { error: "no such object" });
  }

  function setFaults({ body, response }: JsonExchange): void {
    Object.assign(faults, body);
    if (faults.down) for (const watcher of watchers) end(watcher, 503);
    reply(response, 200, faults);
  }

  function list({ url, response }: JsonExchange): void {
    count("list");
    const prefix = url.searchParams.get("prefix") ?? "";
    reply(response, 200, { objects: below(prefix, 0) });
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
    const found = below(watcher.prefix, watcher.since);
    reply(watcher.response, status, { objects: found, revision });
  }

  function below(prefix: string, since: number): StoredEntry[] {
    return [...objects.values()].filter(
      ({ key, version }) => key.startsWith(prefix) && version > since,
    );
  }

  function remove(key: string, { request, response }: JsonExchange): void {
    const actual = objects.get(key) ?? null;
    const wanted = Number(request.headers["if-match"] ?? Number.NaN);
    if (actual?.version !== wanted) return reply(response, 412, { actual });
    objects.delete(key);
    reply(response, 200, {});
  }

  function write(key: string, exchange: JsonExchange): void {
    const { request, response, body } = exchange;
    const actual = objects.get(key) ?? null;
    const wantsNone = request.headers["if-none-match"] === "*";
    const wanted = Number(request.headers["if-match"] ?? Number.NaN);
    const matches = wantsNone ? actual === null : actual?.version === wanted;
    if (!matches) return reply(response, 412, { actual });
    revision += 1;
    objects.set(key, { key, value: body, version: revision });
    if (faults.skipChanges > 0) faults.skipChanges -= 1;
    else tellWatchers(key);
    if (faults.loseReplies > 0) {
      faults.loseReplies -= 1;
      response.destroy();
      return;
    }
    reply(response, 200, { version: revision });
  }

  function tellWatchers(key: string): void {
    for (const watcher of watchers) {
      if (key.startsWith(watcher.prefix)) end(watcher, 200);
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
