import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { EngineLoad } from "./engine_usage.ts";
import { createHashIndex, decodeLoads, encodeLoads } from "./usage_records.ts";

const IDS = Array.from({ length: 200 }, (_, at) => `i-engine-${at}`);

const load: fc.Arbitrary<EngineLoad> = fc.record({
  held: fc.integer({ min: 0, max: 2 ** 39 }),
  unread: fc.integer({ min: 0, max: 2 ** 39 }),
});

function newIndex(ids: readonly string[] = IDS) {
  return createHashIndex(() => ids);
}

describe("compact loads", () => {
  it("decode to the loads that were encoded", () => {
    const loads = fc.dictionary(fc.constantFrom(...IDS), load);
    fc.assert(
      fc.property(loads, (byId) => {
        const entries = Object.entries(byId);
        const text = encodeLoads(entries, newIndex());
        const decoded = decodeLoads(text, newIndex());
        expect(decoded).toEqual(new Map(entries));
      }),
      { seed: 7 },
    );
  });

  it("take about eight bytes an engine", () => {
    const entries = IDS.slice(0, 30).map((id): [string, EngineLoad] => [
      id,
      { held: 300_000, unread: 0 },
    ]);
    const text = encodeLoads(entries, newIndex());
    expect(Buffer.from(text, "base64")).toHaveLength(30 * 8);
  });

  it("leave out engines that aren't known, until they are", () => {
    const ids = ["a"];
    const index = newIndex(ids);
    const entries: [string, EngineLoad][] = [
      ["a", { held: 500, unread: 0 }],
      ["b", { held: 700, unread: 9 }],
    ];
    const text = encodeLoads(entries, newIndex());
    expect(decodeLoads(text, index)).toEqual(new Map(entries.slice(0, 1)));
    ids.push("b");
    expect(decodeLoads(text, index)).toEqual(new Map(entries));
    ids.shift();
    index.idOf(0);
    expect(decodeLoads(text, index)).toEqual(new Map(entries.slice(1)));
  });

  it.each([
    ["cut off in a hash", [1, 2]],
    ["cut off before the values", [1, 2, 3, 4]],
    ["cut off within a value", [1, 2, 3, 4, 0x81]],
    ["out of bounds", [1, 2, 3, 4, ...Array(9).fill(0xff), 1, 1]],
  ])("are invalid when they are %s", (_name, bytes) => {
    const text = Buffer.from(bytes).toString("base64");
    expect(decodeLoads(text, newIndex())).toBeNull();
  });
});
