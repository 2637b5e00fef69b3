import type { AttemptRequest, CacheRequest } from "@rosemarypin/schemas";
import { expect, test } from "vitest";
import { createCacheExports } from "./cache_export.ts";
import { createOrderState } from "./order_state.ts";
import { firstInputs, openSequence, runStage } from "./sequence.ts";
import { createSequenceTable } from "./sequence_table.ts";

const LAYERS = { from: 0, to: 4 };
const HELD = { model: "assist", version: "v1", layers: LAYERS };
const WANTED: CacheRequest = {
  requestId: "answer-1",
  attempt: 2,
  model: "assist",
  version: "v1",
  layers: LAYERS,
  positions: 3,
  incarnation: 7,
};

function attempt(number: number): AttemptRequest {
  const address = { host: "127.0.0.1", port: 1 };
  return {
    requestId: "answer-1",
    organisation: "kano",
    attempt: number,
    model: "assist",
    version: "v1",
    noteNumber: 1,
    stages: [{ engine: "engine-1", address, layers: LAYERS }],
    promptTokens: ["a", "b", "c"],
    deliveredTokens: [],
    maxTokens: 4,
    priority: "standard",
  };
}

/** An engine on which attempt `number` has run the prompt and goes on. */
function createExporter(number = 1, fault?: () => Promise<void>) {
  const table = createSequenceTable();
  const order = createOrderState({ checksFencing: true });
  const hold = (versions: readonly string[]) =>
    order.take({
      fencingNumber: 1,
      noteNumber: 1,
      hold: versions.map((version) => ({ ...HELD, version })),
      adapters: [],
    });
  hold(["v1", "v2"]);
  const request = attempt(number);
  const options = { stage: 0, emit: null, earlier: undefined };
  const sequence = openSequence(request, options);
  if (!sequence) throw new Error("a first attempt needs no cache");
  table.run(sequence);
  runStage(sequence, firstInputs(request));
  const exports = createCacheExports({
    incarnation: 7,
    table,
    order,
    speed: {
      batchMs: 0,
      layerMicros: 0,
      promptFactor: 1,
      linkMs: 0,
      batchSize: 1,
    },
    linkMs: () => 0,
    fault,
    stop: (stopped) => table.park(stopped, null),
  });
  return { exports, table, hold, sequence };
}

/**
 * An answer moves, and its old attempt is still at work on the old engine:
 * two attempts would run its layers, and the late one would take the KV caches
 * of the other stages away from the new one. The request for the cache ends it.
 */
test("an export ends the attempt that still runs", async () => {
  const { exports, table, sequence } = createExporter();
  const end = await exports.give(WANTED);
  expect(end).toMatchObject({ kind: "exported", exported: { bytes: 49_152 } });
  const exported = end.kind === "exported" ? end.exported : undefined;
  expect(exported?.cache).toEqual(sequence.cache);
  expect(table.running("answer-1")).toBeUndefined();
  expect(table.latestAttempt("answer-1")).toBe(2);
});

/**
 * A request for the cache hangs in a slow link until a later attempt runs on
 * the same engine. Served, it would end the attempt that the caller reads.
 */
test("a late request does not end a later attempt", async () => {
  const { exports, table } = createExporter(3);
  const end = await exports.give(WANTED);
  expect(end).toEqual({ kind: "refused", reason: "a later attempt ran" });
  expect(table.running("answer-1")).toBeDefined();
});

/** Another cache under the same id would give a wrong answer. */
test.each<[string, Partial<CacheRequest>, string]>([
  ["version", { version: "v2" }, "another cache"],
  ["adapter", { adapter: "sorghum" }, "another cache"],
  ["layer range", { layers: { from: 0, to: 2 } }, "another cache"],
  ["request", { requestId: "answer-2" }, "no cache"],
  ["incarnation", { incarnation: 6 }, "restarted"],
  ["length", { positions: 4 }, "too few positions"],
])("the cache of another %s is refused", async (_name, changes, reason) => {
  const { exports, table } = createExporter();
  const end = await exports.give({ ...WANTED, ...changes });
  expect(end).toEqual({ kind: "refused", reason });
  expect(table.running("answer-1")).toBeDefined();
});

/**
 * A version is recalled while its answers move. A cache that still went out
 * would carry the withdrawn batch to an engine that was told to drop it.
 */
test("the cache of a version that is not held is refused", async () => {
  const { exports, hold, table } = createExporter();
  hold(["v2"]);
  const end = await exports.give(WANTED);
  expect(end).toEqual({ kind: "refused", reason: "not held" });
  expect(table.running("answer-1")).toBeDefined();
});

/** The same, when the recall comes while the cache is on the link. */
test("a recall during the transfer keeps the cache back", async () => {
  const exporter = createExporter(1, async () => {
    exporter.hold(["v2"]);
  });
  const end = await exporter.exports.give(WANTED);
  expect(end).toEqual({ kind: "refused", reason: "not held" });
});
