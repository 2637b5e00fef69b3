/**
 * Stand-in of the platform's metadata store: objects by kind and name, one
 * revision counter, conditional writes, lists and waiting watches.
 */
import { createServer } from "node:http";

const PAGE = 500;
const HISTORY = 5_000;

/** Starts the store; each machine reaches it through a door of its own. */
export async function startStore() {
  const objects = new Map();
  const events = [];
  const watches = new Set();
  let revision = 1;
  const servers = [];
  const state = { isDown: false, calls: 0 };

  function folder(kind) {
    if (!objects.has(kind)) objects.set(kind, new Map());
    return objects.get(kind);
  }

  function publish(kind, object, deleted) {
    events.push({ kind, revision, object, deleted });
    if (events.length > HISTORY) events.shift();
    for (const watch of [...watches]) if (watch.kind === kind) watch.answer();
  }

  function put(kind, name, spec) {
    const known = folder(kind).get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec))
      return known;
    revision += 1;
    const metadata = {
      name,
      revision,
      create_revision: known?.metadata.create_revision ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    folder(kind).set(name, object);
    publish(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const known = folder(kind).get(name);
    if (!known) return;
    folder(kind).delete(name);
    revision += 1;
    publish(kind, known, true);
  }

  function reply(response, status, body, rewrite) {
    const text = JSON.stringify(body);
    const bytes = Buffer.from(rewrite ? rewrite(text) : text);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": bytes.length,
    });
    response.end(bytes);
  }

  function list(kind, query) {
    const after = query.get("after") ?? "";
    const names = [...folder(kind).keys()].sort().filter((n) => n > after);
    const items = names.slice(0, PAGE).map((name) => folder(kind).get(name));
    const has_more = names.length > PAGE;
    return { items, has_more, store_revision: revision };
  }

  function watch(kind, query, { response, rewrite }) {
    const since = Number(query.get("watch"));
    const newer = () =>
      events.filter((event) => event.kind === kind && event.revision > since);
    const waiting = { kind, answer, cut };
    const waitMs = Math.min(30_000, Number(query.get("wait_ms") ?? 0));
    const timer = setTimeout(answer, waitMs);
    response.once("close", end);
    watches.add(waiting);
    if (newer().length > 0) answer();

    function end() {
      clearTimeout(timer);
      watches.delete(waiting);
    }

    function cut() {
      end();
      response.socket.end();
    }

    function answer() {
      end();
      // A store that is down answers nothing.
      if (state.isDown || response.writableEnded) return;
      const found = newer().map(({ object, deleted }) => ({ object, deleted }));
      reply(
        response,
        200,
        { events: found, store_revision: revision },
        rewrite,
      );
    }
  }

  function write(exchange, { kind, name, spec, condition }) {
    const known = folder(kind).get(name);
    if (condition === null ? known : !known)
      return reply(exchange.response, known ? 409 : 404, known ?? {});
    if (condition !== null && known.metadata.revision !== condition)
      return reply(exchange.response, 409, known);
    reply(exchange.response, 200, put(kind, name, spec));
  }

  function handle(request, text, exchange) {
    const url = new URL(request.url, "http://store");
    const [kind, name, ...rest] = url.pathname
      .slice("/-/objects/".length)
      .split("/")
      .map(decodeURIComponent);
    const { response, rewrite } = exchange;
    const query = url.searchParams;
    if (!url.pathname.startsWith("/-/objects/") || rest.length > 0)
      return reply(response, 404, {});
    if (request.method === "GET" && query.has("watch"))
      return watch(kind, query, exchange);
    if (request.method === "GET" && name === undefined)
      return reply(response, 200, list(kind, query), rewrite);
    const known = folder(kind).get(name);
    if (request.method === "GET")
      return reply(response, known ? 200 : 404, known ?? {}, rewrite);
    if (request.method === "DELETE") {
      const condition = query.get("revision");
      const isOther = Number(condition) !== known?.metadata.revision;
      if (known && condition !== null && isOther)
        return reply(response, 409, known);
      remove(kind, name);
      return reply(response, 200, {});
    }
    const { metadata, spec } = JSON.parse(text);
    return request.method === "POST"
      ? write(exchange, { kind, name: metadata.name, spec, condition: null })
      : write(exchange, { kind, name, spec, condition: metadata.revision });
  }

  return {
    state,
    put,
    remove,
    /** Opens an address; `rewrite` changes the texts that it sends. */
    async openDoor(rewrite) {
      const server = createServer((request, response) => {
        state.calls += 1;
        let text = "";
        request.on("data", (chunk) => {
          text += chunk;
        });
        request.on("end", () => {
          // Down and silent: nothing is done and nothing is answered.
          if (!state.isDown) handle(request, text, { response, rewrite });
        });
      });
      server.keepAliveTimeout = 60_000;
      server.listen(0, "127.0.0.1");
      await new Promise((resolve) => server.once("listening", resolve));
      servers.push(server);
      return `127.0.0.1:${server.address().port}`;
    },
    /** Cuts off the watches of a kind that wait now; returns how many. */
    cutWatches(kind) {
      const cut = [...watches].filter((watch) => watch.kind === kind);
      for (const watch of cut) watch.cut();
      return cut.length;
    },
    stop() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
