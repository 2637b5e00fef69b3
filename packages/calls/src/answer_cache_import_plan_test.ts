import type { EngineSnapshot } from "@rosemarypin/backends";
import type { LayerRange, Stage } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { chooseImports } from "./answer_cache_import_plan.ts";

const RANGES = [
  { from: 0, to: 10 },
  { from: 10, to: 19 },
  { from: 19, to: 24 },
];
const POSITIONS = 200;

function engine(id: string): EngineSnapshot {
  const address = { host: "127.0.0.1", port: 1 };
  return {
    settings: {
      id,
      failureDomain: "dar",
      address,
      accelerator: "fast",
      checksFencing: true,
      roles: [],
    },
    state: {
      engine: id,
      incarnation: 1,
      accelerator: "fast",
      failureDomain: "dar",
      roles: [],
      fencingNumber: 1,
      noteNumber: 1,
      held: [],
      adapters: [],
      running: [],
      leaving: false,
      load: 0,
      cacheBytes: 1_000,
      promptMicros: 10,
    },
    usable: true,
    inFlight: 0,
  };
}

/**
 * Plans imports for the stages `new-0` to `new-2`, of which those in `missing`
 * have no cache.
 */
function planImports(options: {
  readonly missing: readonly number[];
  readonly bytesPerSecond: number;
  readonly holders?: readonly LayerRange[];
}) {
  const { missing, bytesPerSecond, holders = RANGES } = options;
  const engines = RANGES.map((_, index) => engine(`new-${index}`));
  const stages: Stage[] = RANGES.map((layers, index) => ({
    engine: `new-${index}`,
    address: { host: "127.0.0.1", port: 1 },
    layers,
  }));
  const kept = stages.filter((_, index) => !missing.includes(index));
  const sources = chooseImports(stages, {
    enginesWithCache: new Set(kept.map((stage) => stage.engine)),
    holders: holders.map((layers, index) => ({
      engine: engine(`old-${index}`),
      layers,
    })),
    engines: new Map(engines.map((known) => [known.settings.id, known])),
    positions: POSITIONS,
    linkSpeeds: {
      observe() {},
      observeTimeout() {},
      bytesPerSecond: () => bytesPerSecond,
    },
  });
  return [...sources].map(([to, { engine: from, withinMs }]) => {
    return `${to} from ${from} in ${withinMs}`;
  });
}

describe("cache import plan", () => {
  /**
   * Recomputing the last stage costs 200 x 24 x 10 us = 48 ms, since all stages
   * before it run again; its cache has 1 MB. Recomputing the first stage alone
   * costs 20 ms; its cache has 2 MB.
   */
  it.each([
    [
      "for the last stage over a fast link",
      [2],
      1e8,
      ["new-2 from old-2 in 50"],
    ],
    [
      "for the last stage over a link that takes 20 ms",
      [2],
      5e7,
      ["new-2 from old-2 in 50"],
    ],
    ["for no last stage over a link that takes 50 ms", [2], 2e7, []],
    [
      "for the first stage over a fast link",
      [0],
      2e8,
      ["new-0 from old-0 in 50"],
    ],
    ["for no first stage over a link that takes 40 ms", [0], 5e7, []],
    [
      "for the last stage when the first one recomputes",
      [0, 2],
      5e7,
      ["new-2 from old-2 in 50"],
    ],
    ["for no stage when none lacks its cache", [], 1e9, []],
  ])("imports %s", (_name, missing, bytesPerSecond, expected) => {
    expect(planImports({ missing, bytesPerSecond })).toEqual(expected);
  });

  /** Layers without a cache holder are recomputed, as are all layers before. */
  it("imports nothing before a stage that recomputes", () => {
    const [first = { from: 0, to: 1 }] = RANGES;
    const link = { bytesPerSecond: 1e9, holders: [first] };
    expect(planImports({ missing: [0, 2], ...link })).toEqual([]);
    expect(planImports({ missing: [0], ...link })).toHaveLength(1);
  });
});
