// Stand-ins of a model engine and of a server of a plain service (PROTOCOL,
// "Requests" and "Engines"): sound unless a test sets otherwise.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1_200;
const LOAD_MS = 300;
const LAYER_MB = 1_750;

function startHeartbeat(store, id, entry) {
  let seq = 0;
  const beat = () => {
    seq += 1;
    store.put("servers", id, { ...entry(), seq });
  };
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return { beat, stop: () => clearInterval(timer) };
}

async function listen(server) {
  server.keepAliveTimeout = 30_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${server.address().port}`;
}

async function readText(request) {
  let text = "";
  for await (const chunk of request) text += chunk;
  return text;
}

/**
 * Starts an engine that holds nothing and registers itself. `run(run)` is
 * called with each request that it runs; `state.eventMs` and `state.unframed`
 * (a function of the run) say how it streams.
 */
export async function startEngine(store, options) {
  const { id, service, zone, kind, memoryMb, record } = options;
  const born = Date.now();
  const runs = new Map();
  const state = {
    eventMs: options.eventMs ?? 20,
    unframed: () => false,
    held: null,
    busy: false,
    orderCount: 0,
    silent: false,
  };

  function reply(response, status, body, headers = {}) {
    if (response.destroyed) return;
    response.writeHead(status, {
      "Content-Type": "application/json",
      ...headers,
    });
    response.end(JSON.stringify(body));
  }

  function order(body, response) {
    if (body.op !== "place") return reply(response, 404, {});
    if (body.expect !== undefined && body.expect !== state.orderCount)
      return reply(response, 409, {});
    if (state.busy) return reply(response, 409, {});
    const { from, to } = body;
    record("order", { engine: id, from, to });
    if ((to - from) * LAYER_MB > memoryMb) {
      record("engine_over_its_memory", { engine: id, from, to });
      return reply(response, 409, {});
    }
    state.orderCount += 1;
    state.busy = true;
    setTimeout(() => {
      state.busy = false;
      state.held = { from, to, version: 1 };
      heartbeat.beat();
    }, LOAD_MS);
    reply(response, 202, {});
  }

  async function generate(request, response) {
    await readText(request);
    const { headers } = request;
    const requestId = headers["x-request-id"];
    if (headers["x-target-instance"] && headers["x-target-instance"] !== id)
      return reply(response, 421, {}, { "X-Instance-Id": id });
    const first = headers["x-hop-count"]?.split(",")[0] ?? "";
    const [, from, to] = /=(\d+)-(\d+)$/.exec(first) ?? [0, 0, 80];
    const holds =
      state.held !== null && state.held.from <= from && state.held.to >= to;
    if (!holds) return reply(response, 421, {}, { "At-Server": address });
    const last = Number(headers["last-event-id"] ?? 0);
    const events = Number(headers["x-token-count"]?.split(",")[1] ?? 0) / 2;
    const run = { engine: id, requestId, after: last, made: 0 };
    runs.set(requestId, run);
    const unframed = state.unframed(run);
    record("run", { engine: id, request: requestId, after: last, unframed });
    if (unframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "X-Request-Id": requestId,
      "X-Engine-Signature": `${id}.${requestId}`,
      "X-Weight-Versions": "1",
    });
    for (let event = last + 1; event <= events; event += 1) {
      await new Promise((resolve) => setTimeout(resolve, state.eventMs));
      if (response.destroyed) break;
      response.write(`id: ${event}\ndata: ${requestId}/${event}\n\n`);
      run.made = event;
    }
    runs.delete(requestId);
    const whole = !response.destroyed;
    if (whole) response.end();
    record("run_ended", { engine: id, request: requestId, whole });
  }

  const server = createServer(async (request, response) => {
    if (request.url === "/-/report")
      return reply(response, 200, {
        stage: "both",
        models: [{ name: "model-a", version: 1, adapters: [] }],
        layers: state.held,
        kind,
        born,
        busy: state.busy,
        seq: state.orderCount,
        waiting: 0,
        running: runs.size,
        kv_used: 0,
        kv_total: 5_000_000,
        handles: 0,
        pace: 1,
        stalled: [],
      });
    if (request.url === "/-/order")
      return order(JSON.parse(await readText(request)), response);
    return generate(request, response);
  });
  const address = await listen(server);
  const heartbeat = startHeartbeat(store, id, () => ({
    service,
    address,
    zone,
    version: "v1",
    slots: 134,
    state: "ready",
    cold_left_ms: 0,
    stage: "both",
    models: [{ name: "model-a", version: 1, adapters: [] }],
    kind,
    layers: state.held,
    born,
  }));
  return {
    id,
    address,
    state,
    stop() {
      heartbeat.stop();
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Starts a server of a plain service that registers itself. `state.handle`, if
 * set, answers in place of the usual answer.
 */
export async function startPlainServer(store, options) {
  const { id, service, zone, record } = options;
  const born = Date.now();
  const state = { handle: null, workMs: options.workMs ?? 60 };
  const server = createServer(async (request, response) => {
    const text = await readText(request);
    const { headers } = request;
    const requestId = headers["x-request-id"];
    if (headers["x-target-instance"] && headers["x-target-instance"] !== id) {
      response.writeHead(421, { "X-Instance-Id": id });
      return response.end();
    }
    const run = {
      server: id,
      request: requestId,
      method: request.method,
      path: request.url,
      tenant: headers["x-tenant"],
    };
    if (state.handle?.({ request, response, text, run })) return;
    record("run", run);
    state.onRun?.(run);
    await new Promise((resolve) => setTimeout(resolve, state.workMs));
    if (response.destroyed) return;
    const body = `done by ${id} for ${requestId}\n`;
    response.writeHead(200, {
      "X-Request-Id": requestId,
      "X-Engine-Signature": `${id}.${requestId}`,
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  });
  const address = await listen(server);
  const heartbeat = startHeartbeat(store, id, () => ({
    service,
    address,
    zone,
    version: "v1",
    slots: 6,
    state: "ready",
    cold_left_ms: 0,
    born,
  }));
  return {
    id,
    address,
    state,
    stop() {
      heartbeat.stop();
      server.closeAllConnections();
      server.close();
    },
  };
}
