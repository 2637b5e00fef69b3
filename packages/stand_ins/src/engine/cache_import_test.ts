import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AttemptRequest, ExportedCache } from "@rosemarypin/schemas";
import { afterEach, expect, test } from "vitest";
import { createCacheImport } from "./cache_import.ts";
import { createOrderState } from "./order_state.ts";
import { openSequence } from "./sequence.ts";
import { createSequenceTable } from "./sequence_table.ts";

const LAYERS = { from: 0, to: 2 };
const CACHE: ExportedCache = {
  cache: [
    [1, 2],
    [3, 4],
  ],
  digests: ["d0"],
  lastDigest: "d0",
  bytes: 16_384,
};

let server: Server | null = null;
afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** A stage that waits for its cache, and an exporter that does `whenAsked`. */
async function startImport(whenAsked: () => ExportedCache | null) {
  const exporter = createServer((request, response) => {
    request.resume();
    const exported = whenAsked();
    response.writeHead(exported ? 200 : 409);
    response.end(JSON.stringify(exported ?? { error: "no cache" }));
  });
  server = exporter;
  exporter.listen(0, "127.0.0.1");
  await once(exporter, "listening");
  const bound = exporter.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const address = { host: "127.0.0.1", port };
  const importFrom = { engine: "engine-1", address, withinMs: 5_000 };
  const stage = { engine: "engine-2", address, layers: LAYERS };
  const request: AttemptRequest = {
    requestId: "answer-1",
    organisation: "kano",
    attempt: 2,
    model: "assist",
    version: "v1",
    noteNumber: 1,
    stages: [{ ...stage, keptPositions: 2, importFrom }],
    promptTokens: ["a", "b"],
    deliveredTokens: ["w"],
    maxTokens: 4,
    priority: "standard",
  };
  const table = createSequenceTable();
  const order = createOrderState({ checksFencing: true });
  const hold = (version: string) =>
    order.take({
      fencingNumber: 1,
      noteNumber: 1,
      hold: [{ model: "assist", version, layers: LAYERS }],
      adapters: [],
    });
  hold("v1");
  const options = { stage: 0, emit: null, earlier: undefined };
  const sequence = openSequence(request, options);
  if (!sequence) throw new Error("a stage that imports opens empty");
  table.run(sequence);
  const importCache = createCacheImport({ table, order });
  const run = () => importCache(sequence, importFrom);
  return { run, sequence, table, hold };
}

test("an imported cache is taken over, with where it came from", async () => {
  const { run, sequence } = await startImport(() => CACHE);
  expect(await run()).toMatchObject({ kind: "imported", bytes: 16_384 });
  expect(sequence).toMatchObject({
    cache: CACHE.cache,
    digests: ["d0"],
    imported: { engine: "engine-1", positions: 2 },
  });
});

/**
 * The answer's next attempt begins, or its caller leaves, while the cache is on
 * the link. Filled then, the stage would run layers for nobody.
 */
test("a cache for an attempt that is over fills nothing", async () => {
  const { run, sequence, table } = await startImport(() => {
    table.park(sequence, null);
    return CACHE;
  });
  expect(await run()).toEqual({ kind: "stopped" });
  expect(sequence.cache).toEqual([]);
});

/** The version is recalled here while its cache is on the link. */
test("a cache of a version that is not held any more is left", async () => {
  const { run, sequence, hold } = await startImport(() => {
    hold("v2");
    return CACHE;
  });
  expect(await run()).toEqual({ kind: "failed", reason: "not held" });
  expect(sequence.cache).toEqual([]);
});

/** A part of the cache would give a wrong answer, so all of it must come. */
test.each([
  ["refused", null],
  ["cut short", { ...CACHE, cache: [[1, 2]] }],
])("a transfer that is %s fails", async (_name, exported) => {
  const { run, sequence } = await startImport(() => exported);
  expect(await run()).toMatchObject({ kind: "failed" });
  expect(sequence.cache).toEqual([]);
});
