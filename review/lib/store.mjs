// Stand-in of the platform's object API (PROTOCOL, "The platform's metadata
// store"): sound unless a test sets a fault.
import { createServer } from "node:http";

const PREFIX = "/-/objects/";

/** Starts an empty store; `address` is HOST:PORT. */
export async function startStore() {
  const kinds = new Map();
  let revision = 100;
  let history = [];
  const watchers = new Set();
  const faults = { silent: false, turnsAway: new Set(), delayMs: 4 };

  const kindOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  function record(kind, object, deleted) {
    history.push({ kind, revision, event: { object, deleted } });
    if (history.length > 20_000) history = history.slice(-10_000);
    for (const watcher of [...watchers])
      if (watcher.kind === kind) watcher.tell();
  }

  function put(kind, name, spec) {
    const objects = kindOf(kind);
    const existing = objects.get(name);
    if (existing && JSON.stringify(existing.spec) === JSON.stringify(spec))
      return existing;
    revision += 1;
    const object = {
      metadata: {
        name,
        revision,
        create_revision: existing?.metadata.create_revision ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    objects.set(name, object);
    record(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const existing = kindOf(kind).get(name);
    if (!existing) return;
    kindOf(kind).delete(name);
    revision += 1;
    record(kind, existing, true);
  }

  function reply(response, status, body) {
    if (response.destroyed) return;
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function watch(kind, query, response) {
    const since = Number(query.get("watch"));
    const news = () =>
      history.filter((item) => item.kind === kind && item.revision > since);
    const answer = () =>
      reply(response, 200, {
        events: news().map(({ event }) => event),
        store_revision: revision,
      });
    if (news().length > 0) return answer();
    const watcher = {
      kind,
      tell() {
        watchers.delete(watcher);
        clearTimeout(timer);
        answer();
      },
    };
    const timer = setTimeout(watcher.tell, Number(query.get("wait_ms") ?? 0));
    watchers.add(watcher);
    response.once("close", () => {
      clearTimeout(timer);
      watchers.delete(watcher);
    });
  }

  function serve(request, response, body) {
    const url = new URL(request.url, "http://store");
    const [kind = "", name] = url.pathname
      .slice(PREFIX.length)
      .split("/")
      .map(decodeURIComponent);
    const query = url.searchParams;
    const objects = kindOf(kind);
    const { method } = request;
    if (method === "GET" && name === undefined) {
      if (query.has("watch")) return watch(kind, query, response);
      return reply(response, 200, {
        items: [...objects.values()].sort((a, b) =>
          a.metadata.name < b.metadata.name ? -1 : 1,
        ),
        has_more: false,
        store_revision: revision,
      });
    }
    if (method === "POST") {
      const wanted = body?.metadata?.name;
      const existing = objects.get(wanted);
      if (existing) return reply(response, 409, existing);
      return reply(response, 200, put(kind, wanted, body.spec));
    }
    const existing = objects.get(name);
    if (!existing) return reply(response, 404, { error: "none" });
    if (method === "GET") return reply(response, 200, existing);
    const expected =
      body?.metadata?.revision ??
      (query.has("revision") ? Number(query.get("revision")) : undefined);
    if (expected !== undefined && expected !== existing.metadata.revision)
      return reply(response, 409, existing);
    if (method === "PUT")
      return reply(response, 200, put(kind, name, body.spec));
    if (method === "DELETE") {
      remove(kind, name);
      return reply(response, 200, existing);
    }
    return reply(response, 405, { error: "method" });
  }

  const server = createServer(async (request, response) => {
    let text = "";
    for await (const chunk of request) text += chunk;
    if (faults.silent) return;
    setTimeout(() => {
      serve(request, response, text === "" ? null : JSON.parse(text));
    }, faults.delayMs);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    faults,
    put,
    remove,
    get: (kind, name) => kindOf(kind).get(name),
    names: (kind) => [...kindOf(kind).keys()],
    stop() {
      server.closeAllConnections();
      server.close();
    },
  };
}
