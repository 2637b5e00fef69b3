/** Stand-in of a model engine that holds all layers, by the users' protocol. */
import { createServer } from "node:http";

export const LAYERS = 8;
const EVENTS = 20;
const EVENT_MS = 50;

/**
 * Starts an engine. It begins to write an answer `firstEventMs` after the
 * request came, since it reads the prompts before.
 */
export async function startEngine(id, { zone, firstEventMs, onRequest }) {
  const engine = { id, zone, born: Date.now(), seq: 1, isUp: true };
  const running = new Set();
  const server = createServer((request, response) => {
    if (request.url === "/-/report") return report(response);
    const requestId = request.headers["x-request-id"];
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== id)
      return response.writeHead(421, { "X-Request-Id": requestId }).end();
    onRequest(engine, requestId);
    request.resume();
    const done = Number(request.headers["last-event-id"] ?? 0);
    void answer(response, { requestId, done });
  });

  async function answer(response, { requestId, done }) {
    running.add(response);
    response.once("close", () => running.delete(response));
    await pause(firstEventMs);
    if (response.destroyed) return;
    response.writeHead(200, {
      "X-Request-Id": requestId,
      "X-Engine-Signature": `${id}.1.1`,
      "Content-Type": "text/event-stream",
    });
    for (let event = done + 1; event <= EVENTS; event += 1) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: two tokens\n\n`);
      await pause(EVENT_MS);
    }
    response.end();
  }

  function report(response) {
    const body = JSON.stringify({
      born: engine.born,
      stage: "both",
      models: [{ name: "m", version: 1, adapters: [] }],
      layers: { from: 0, to: LAYERS, version: 1 },
      busy: false,
      seq: 0,
      waiting: 1,
      running: running.size,
      kv_used: 0,
      kv_total: 10_000_000,
      handles: 0,
      pace: 1,
      stalled: [],
    });
    response.writeHead(200, { "Content-Type": "application/json" }).end(body);
  }

  server.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  engine.address = `127.0.0.1:${server.address().port}`;
  engine.running = () => running.size;
  engine.crash = () => {
    engine.isUp = false;
    server.close();
    server.closeAllConnections();
  };
  return engine;
}

/** The entry by which an engine registers in the store. */
export function engineEntry({ id, zone, address, born, seq }) {
  return {
    service: "model",
    address,
    zone,
    version: "v1",
    slots: 192,
    state: "ready",
    cold_left_ms: 0,
    seq,
    born,
    kind: "card",
    models: [{ name: "m", version: 1, adapters: [] }],
    layers: { from: 0, to: LAYERS, version: 1 },
    id,
  };
}

/** Adds the streamed route `ask` of the service `model`. */
export function withModel(configuration, host) {
  const { routes, services, ...others } = configuration;
  const route = {
    name: "ask",
    host,
    path_prefix: "/ask/",
    kind: "streaming",
    service: "model",
    timeout_ms: 20_000,
    goal_ms: 500,
    priority: 1,
    max_attempts: 2,
    public: false,
    resumable: true,
    sticky: true,
    gap_aim_ms: 200,
  };
  const engine = {
    slots: 192,
    kv_bytes: 8_000,
    models: [{ name: "m", pace: 1, load_s: 1, warm_s: 0 }],
    step_ms: 0.85,
    read_per_s: 196_000,
    usual: { prompt: 4_000, answer: 40 },
    layers: LAYERS,
    layer_mb: 1_000,
    kinds: [{ name: "card", mb: 72_000, pace: 1, read_x: 1 }],
  };
  const model = {
    name: "model",
    health_path: "/health",
    max_conns: 1_078,
    engine,
  };
  return {
    ...others,
    routes: [...routes, route],
    services: [...services, model],
  };
}

function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
