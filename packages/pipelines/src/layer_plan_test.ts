import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { kvCapacityTokens, maxLayersWithCapacity } from "./engine_capacity.ts";
import { countHolders } from "./layer_coverage.ts";
import { planLayers } from "./layer_plan.ts";
import { createPlanDraft, type PlannedEngine } from "./plan_draft.ts";
import type { LayerRange, ModelShape } from "./types.ts";

const model: ModelShape = {
  name: "m",
  layerCount: 80,
  layerMb: 1_750,
  tokenLayerBytes: 10_567,
  stepMs: 0.85,
  prefillTokensPerMs: 160,
  meanPromptTokens: 772,
  meanAnswerTokens: 174,
  maxConcurrentAnswers: 134,
};

const KINDS = {
  large: { memoryMb: 72_000, stepFactor: 1.4, prefillFactor: 1 },
  medium: { memoryMb: 36_000, stepFactor: 3.1, prefillFactor: 3.2 },
  small: { memoryMb: 21_600, stepFactor: 16, prefillFactor: 8.2 },
  tiny: { memoryMb: 14_400, stepFactor: 15, prefillFactor: 15 },
} as const;

function createEngine(
  id: string,
  kind: keyof typeof KINDS,
  facts: Partial<PlannedEngine> = {},
): PlannedEngine {
  return {
    id,
    failureDomain: "a",
    held: null,
    serving: null,
    acceptsOrders: true,
    isOwn: true,
    ...KINDS[kind],
    ...facts,
  };
}

function fleet(counts: Partial<Record<keyof typeof KINDS, number>>) {
  return Object.entries(counts).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index) =>
      createEngine(`${kind}-${index}`, kind as keyof typeof KINDS),
    ),
  );
}

/** Returns the engines after they have carried out the orders of a plan. */
function apply(engines: readonly PlannedEngine[]): PlannedEngine[] {
  const orders = new Map(
    planLayers(engines, model).map(({ engineId, range }) => [engineId, range]),
  );
  return engines.map((engine) => {
    const held = orders.get(engine.id) ?? engine.held;
    return { ...engine, held, serving: held };
  });
}

/** Returns copies of the engines in failure domain "b". */
function inDomainB(engines: readonly PlannedEngine[]): PlannedEngine[] {
  return engines.map((engine) => ({
    ...engine,
    id: `b-${engine.id}`,
    failureDomain: "b",
  }));
}

type Counts = Record<keyof typeof KINDS, number>;

const MAX_ROUNDS = 60;

/** Carries out plans until one is empty, for at most `MAX_ROUNDS` rounds. */
function applyUntilStable(
  engines: readonly PlannedEngine[],
): readonly PlannedEngine[] {
  let current = engines;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    if (planLayers(current, model).length === 0) break;
    current = apply(current);
  }
  return current;
}

function uncovered(engines: readonly PlannedEngine[]): number[] {
  const layers = Array.from({ length: model.layerCount }, (_, layer) => layer);
  return layers.filter(
    (layer) =>
      !engines.some(
        ({ held }) => held && held.from <= layer && layer < held.to,
      ),
  );
}

/** Number of engines that hold the layer with the fewest holders. */
function minHolders(engines: readonly PlannedEngine[]): number {
  const ranges = engines.flatMap(({ held }) => held ?? []);
  return Math.min(...countHolders(ranges, model.layerCount));
}

/** Decode steps per millisecond of the engines with each layer. */
function ratesByLayer(engines: readonly PlannedEngine[]): number[] {
  return createPlanDraft(engines, model).rateByLayer();
}

describe("a plan for engines that all are empty", () => {
  // Guards against a start in which no pipeline serves before the engines with
  // most layers have loaded them.
  it("orders the pipeline first whose engines have least to load", () => {
    const orders = planLayers(fleet({ large: 3, tiny: 24 }), model);
    const pipelines: number[][] = [];
    for (const { range } of orders) {
      if (range.from === 0) pipelines.push([]);
      pipelines.at(-1)?.push(range.to - range.from);
    }
    const largest = pipelines.map((layers) => Math.max(...layers));
    expect(largest).toEqual([...largest].sort((a, b) => a - b));
    expect(new Set(largest).size).toBeGreaterThan(1);
  });
});

describe("planLayers", () => {
  it("covers all layers in each domain that can hold the model", () => {
    const engines = ["a", "b"].flatMap((failureDomain) =>
      fleet({ medium: 1, small: 8, tiny: 3 }).map((engine) => ({
        ...engine,
        id: `${failureDomain}-${engine.id}`,
        failureDomain,
      })),
    );
    const placed = apply(engines);
    for (const domain of ["a", "b"]) {
      const domainEngines = placed.filter(
        ({ failureDomain }) => failureDomain === domain,
      );
      expect(uncovered(domainEngines)).toEqual([]);
    }
  });

  it("groups domains that are too small for the model", () => {
    const engines = ["a", "b", "c"].flatMap((failureDomain) =>
      fleet({ small: 4 }).map((engine) => ({
        ...engine,
        id: `${failureDomain}-${engine.id}`,
        failureDomain,
      })),
    );
    expect(uncovered(apply(engines))).toEqual([]);
  });

  it("lays a pipeline of several domains out with one crossing between two", () => {
    // Guards against pipelines that pass the link between two domains at each
    // stage, when their engines take turns by speed.
    const engines = ["a", "b"].flatMap((failureDomain) =>
      fleet({ medium: 1, small: 5 }).map((engine) => ({
        ...engine,
        id: `${failureDomain}-${engine.id}`,
        failureDomain,
      })),
    );
    const stages = apply(engines)
      .filter(({ held }) => held !== null)
      .sort((a, b) => (a.held?.from ?? 0) - (b.held?.from ?? 0));
    const crossings = stages.filter(
      ({ failureDomain }, index) =>
        index > 0 && failureDomain !== stages[index - 1]?.failureDomain,
    );
    expect(uncovered(stages)).toEqual([]);
    expect(crossings).toHaveLength(1);
  });

  it("returns no orders for a complete layout", () => {
    const placed = apply(fleet({ large: 1, medium: 1, small: 5, tiny: 7 }));
    expect(planLayers(placed, model)).toEqual([]);
  });

  it("fills the gap of a lost engine while all other layers stay served", () => {
    // The neighbours of a lost engine have answers in progress, which would be
    // interrupted if the neighbours released layers that no other engine
    // serves.
    const placed = apply(fleet({ medium: 1, small: 8, tiny: 3 }));
    const lost = placed.find(({ held }) => held && held.from > 0);
    const remaining = placed.filter((engine) => engine !== lost);
    let current = remaining;
    for (
      let round = 0;
      round < 6 && uncovered(current).length > 0;
      round += 1
    ) {
      const next = apply(current);
      expectAllLayersServed(current, next);
      current = next;
    }
    expect(uncovered(current)).toEqual([]);
  });

  it("fills the gap of any lost engine within 8 rounds", () => {
    const placed = apply(fleet({ medium: 1, small: 8, tiny: 3 }));
    for (const lost of placed) {
      let current = placed.filter((engine) => engine !== lost);
      for (
        let round = 0;
        round < 8 && uncovered(current).length > 0;
        round += 1
      ) {
        current = apply(current);
      }
      expect(uncovered(current)).toEqual([]);
    }
  });

  it("raises the capacity of a bottleneck without a gap at any time", () => {
    // After losses of other engines one engine holds far more layers than
    // planned. Its low KV cache capacity limits the whole domain, although its
    // neighbours have unused memory.
    const ranges: [keyof typeof KINDS, number, number][] = [
      ["medium", 0, 19],
      ["small", 19, 26],
      ["small", 26, 33],
      ["small", 33, 40],
      ["small", 40, 47],
      ["small", 47, 54],
      ["small", 54, 61],
      ["small", 61, 68],
      ["tiny", 68, 72],
      ["tiny", 72, 76],
      ["tiny", 76, 80],
    ];
    let current = ranges.map(([kind, from, to], index) =>
      createEngine(`e-${index}`, kind, {
        held: { from, to },
        serving: { from, to },
      }),
    );
    const capacityOf = ({ memoryMb, held }: PlannedEngine) =>
      kvCapacityTokens(model, {
        memoryMb,
        layers: held ? held.to - held.from : 0,
      });
    const lowestCapacity = () => Math.min(...current.map(capacityOf));
    const before = lowestCapacity();
    for (let round = 0; round < 12; round += 1) {
      const next = apply(current);
      expectAllLayersServed(current, next);
      current = next;
      expect(uncovered(current)).toEqual([]);
    }
    expect(lowestCapacity()).toBeGreaterThan(2 * before);
    expect(planLayers(current, model)).toEqual([]);
  });

  it("releases no layers that are still loading on another engine", () => {
    // A joining engine is loading replicas of layers when a gap opens. The
    // engine that serves these layers must not release them to fill the gap.
    const placed = apply(fleet({ medium: 1, small: 8, tiny: 3 }));
    const [first, ...others] = placed;
    if (!first?.held) throw new Error("the first engine has no layers");
    const joining = createEngine("medium-9", "medium", {
      held: first.held,
      acceptsOrders: false,
    });
    const remaining = others.slice(0, -1);
    const orders = planLayers([first, joining, ...remaining], model);
    const moved = orders.find(({ engineId }) => engineId === first.id);
    const from = moved?.range.from ?? first.held.from;
    const to = moved?.range.to ?? first.held.to;
    expect(from).toBeLessThanOrEqual(first.held.from);
    expect(to).toBeGreaterThanOrEqual(first.held.to);
  });

  it("loads only the missing layers when an engine is lost", () => {
    const placed = apply(fleet({ medium: 1, small: 8, tiny: 3 }));
    const lost = placed.find(({ id, held }) => id.startsWith("tiny") && held);
    if (!lost?.held) throw new Error("no tiny engine has layers");
    const remaining = placed.filter((engine) => engine !== lost);
    const orders = planLayers(remaining, model);
    const loaded = orders.reduce(
      (sum, { range }) => sum + range.to - range.from,
      0,
    );
    expect(loaded).toBe(lost.held.to - lost.held.from);
  });

  it("replicates the layers of a large engine on idle engines", () => {
    const placed = apply(fleet({ large: 2, small: 12 }));
    const largest = placed.filter(({ id }) => id.startsWith("large"));
    const isReplicated = largest.some(({ id, held }) =>
      rangesCover(
        placed.filter((other) => other.id !== id),
        held,
      ),
    );
    expect(isReplicated).toBe(true);
  });

  it("keeps idle engines empty if they can't replicate a whole range", () => {
    const placed = apply(fleet({ large: 1, medium: 1, small: 5, tiny: 7 }));
    const heldRanges = placed.map(({ held }) => held).filter(Boolean);
    const layers = heldRanges.reduce(
      (sum, held) => sum + (held ? held.to - held.from : 0),
      0,
    );
    expect(layers).toBe(model.layerCount);
  });

  it("lays further pipelines out on engines that appear after the first layout", () => {
    // Guards against engines that stay without layers for good because they
    // registered late, were added, or restarted without their layers.
    const all = fleet({ large: 4, medium: 6, small: 30 });
    const early = applyUntilStable(all.slice(0, 22));
    const settled = applyUntilStable([...early, ...all.slice(22)]);
    expect(minHolders(settled)).toBe(minHolders(applyUntilStable(all)));
  });

  it("replicates layers on idle engines if mostly slow ones are left with them", () => {
    // Guards against a bottleneck of all answers beside engines without layers.
    const placed = applyUntilStable(fleet({ large: 2, medium: 6, small: 14 }));
    const settled = applyUntilStable(
      placed.filter(({ memoryMb }) => memoryMb !== KINDS.large.memoryMb),
    );
    const rates = ratesByLayer(settled).sort((a, b) => a - b);
    const median = rates[rates.length / 2] ?? 0;
    expect(rates[0]).toBeGreaterThanOrEqual(median / 2);
  });

  it("returns no order for an engine with an order in progress", () => {
    const engines = fleet({ medium: 1, small: 8, tiny: 3 }).map((engine) => ({
      ...engine,
      acceptsOrders: engine.id !== "small-3",
    }));
    const orders = planLayers(engines, model);
    expect(orders.map(({ engineId }) => engineId)).not.toContain("small-3");
  });

  it("orders no more weights than fit into an engine's memory", () => {
    // An engine that runs out of memory crashes, which interrupts its answers.
    // Covers arbitrary mixes of engines in arbitrary states.
    const kinds = fc.constantFrom(...(Object.keys(KINDS) as "tiny"[]));
    const facts = fc.record({
      kind: kinds,
      failureDomain: fc.constantFrom("a", "b", "c"),
      from: fc.integer({ min: 0, max: 79 }),
      layers: fc.integer({ min: 0, max: 8 }),
      acceptsOrders: fc.boolean(),
      serves: fc.boolean(),
    });
    const property = fc.property(
      fc.array(facts, { maxLength: 24 }),
      (entries) => {
        const engines = entries.map((entry, index) =>
          createEngine(`e-${index}`, entry.kind, {
            failureDomain: entry.failureDomain,
            acceptsOrders: entry.acceptsOrders,
            held:
              entry.layers === 0
                ? null
                : {
                    from: entry.from,
                    to: Math.min(80, entry.from + entry.layers),
                  },
            serving:
              entry.serves && entry.layers > 0
                ? {
                    from: entry.from,
                    to: Math.min(80, entry.from + entry.layers),
                  }
                : null,
          }),
        );
        for (const { engineId, range } of planLayers(engines, model)) {
          const { memoryMb } = engines.find(({ id }) => id === engineId) ?? {
            memoryMb: 0,
          };
          const layers = range.to - range.from;
          expect(layers * model.layerMb).toBeLessThanOrEqual(memoryMb);
          expect(range.from).toBeGreaterThanOrEqual(0);
          expect(range.to).toBeLessThanOrEqual(model.layerCount);
        }
      },
    );
    fc.assert(property, { numRuns: 300 });
  });

  // Guards against two engines that exchange a layer in every round.
  it("converges after any engines are lost or return empty", () => {
    const counts = fc.record({
      large: fc.integer({ min: 0, max: 1 }),
      medium: fc.integer({ min: 0, max: 2 }),
      small: fc.integer({ min: 1, max: 7 }),
      tiny: fc.integer({ min: 0, max: 7 }),
    });
    const changes = fc.array(
      fc.record({ at: fc.nat({ max: 1_000 }), returns: fc.boolean() }),
      { maxLength: 12 },
    );
    /** Two engines of a group of small domains exchanged a layer each round. */
    const REGRESSIONS: [Counts, Counts, { at: number; returns: boolean }[]][] =
      [
        [
          { large: 0, medium: 0, small: 4, tiny: 5 },
          { large: 0, medium: 1, small: 4, tiny: 3 },
          [
            { at: 0, returns: false },
            { at: 267, returns: false },
          ],
        ],
      ];
    const property = fc.property(counts, counts, changes, (a, b, steps) => {
      const all = [...fleet(a), ...inDomainB(fleet(b))];
      let engines = applyUntilStable(all);
      for (const { at, returns } of steps) {
        const engine = all[at % all.length];
        if (!engine) continue;
        const others = engines.filter(({ id }) => id !== engine.id);
        engines = applyUntilStable(returns ? [...others, engine] : others);
      }
      expect(planLayers(engines, model)).toEqual([]);
    });
    fc.assert(property, { numRuns: 300, examples: REGRESSIONS });
  });

  it("covers all layers with 650 engines in 8 domains within the time limit", () => {
    const engines = Array.from({ length: 650 }, (_, index) => ({
      ...createEngine(
        `e-${index}`,
        (["small", "tiny"] as const)[index % 2] ?? "tiny",
      ),
      failureDomain: `domain-${index % 8}`,
    }));
    expect(uncovered(apply(engines))).toEqual([]);
  });
});

interface LoadingEngine {
  readonly engine: PlannedEngine;
  held: LayerRange | null;
  loading: { readonly range: LayerRange; readonly until: number } | null;
}

/**
 * Lets one planner for each failure domain order its own engines, of which it
 * alone knows what they load, and returns the number of orders in each round.
 */
function runPlanners(states: readonly LoadingEngine[], rounds: number) {
  const domains = new Set(states.map(({ engine }) => engine.failureDomain));
  return Array.from({ length: rounds }, (_, round) => {
    let orders = 0;
    for (const domain of domains) {
      const view = states.map(({ engine, held, loading }) => {
        const isOwn = engine.failureDomain === domain;
        const known = isOwn ? loading : null;
        const acceptsOrders = known === null;
        const planned = known?.range ?? held;
        return {
          ...engine,
          held: planned,
          serving: held,
          acceptsOrders,
          isOwn,
        };
      });
      for (const { engineId, range } of planLayers(view, model)) {
        const state = states.find(({ engine }) => engine.id === engineId);
        if (!state) continue;
        orders += 1;
        state.loading = { range, until: round + 1 + (orders % 3) };
      }
    }
    for (const state of states) {
      if (state.loading === null || state.loading.until > round) continue;
      state.held = state.loading.range;
      state.loading = null;
    }
    return orders;
  });
}

describe("planners of several failure domains that form one group", () => {
  // Guards against planners that move layers against each other for good.
  it("come to rest with all layers covered, also after a loss", () => {
    const counts = fc.record({
      small: fc.integer({ min: 2, max: 6 }),
      tiny: fc.integer({ min: 0, max: 4 }),
    });
    const property = fc.property(
      fc.tuple(counts, counts, counts),
      fc.nat({ max: 20 }),
      (domains, lostIndex) => {
        const engines = domains.flatMap((count, index) =>
          fleet(count).map((engine) => ({
            ...engine,
            id: `${index}-${engine.id}`,
            failureDomain: `domain-${index}`,
          })),
        );
        const remaining = engines.filter((_, index) => index !== lostIndex);
        fc.pre(uncovered(applyUntilStable(remaining)).length === 0);
        const all = engines.map(
          (engine): LoadingEngine => ({ engine, held: null, loading: null }),
        );
        const left = all.filter((_, index) => index !== lostIndex);
        for (const states of [all, left]) {
          const orders = runPlanners(states, MAX_ROUNDS);
          expect(orders.slice(-10)).toEqual(new Array(10).fill(0));
        }
        const placed = left.map(({ engine, held }) => ({ ...engine, held }));
        expect(uncovered(placed)).toEqual([]);
      },
    );
    fc.assert(property, { numRuns: 20, seed: 1 });
  });
});

/** Whether the engines hold all layers of a range. */
function rangesCover(
  engines: readonly PlannedEngine[],
  range: LayerRange | null,
): boolean {
  const missing = uncovered(engines);
  return (
    range !== null &&
    !missing.some((layer) => range.from <= layer && layer < range.to)
  );
}

/** Expects that another engine keeps serving each layer that one releases. */
function expectAllLayersServed(
  before: readonly PlannedEngine[],
  after: readonly PlannedEngine[],
): void {
  for (const [index, { held }] of before.entries()) {
    for (const layer of releasedLayers(held, after[index]?.held ?? null)) {
      const isServed = before.some(
        (other, at) =>
          at !== index &&
          [other.held, after[at]?.held].every(
            (range) => range && range.from <= layer && layer < range.to,
          ),
      );
      expect(isServed).toBe(true);
    }
  }
}

function releasedLayers(before: LayerRange | null, after: LayerRange | null) {
  if (!before) return [];
  const layers = Array.from(
    { length: before.to - before.from },
    (_, index) => before.from + index,
  );
  return layers.filter(
    (layer) => !after || layer < after.from || layer >= after.to,
  );
}

describe("engine memory", () => {
  it("is divided between weights and KV cache", () => {
    const memoryMb = KINDS.small.memoryMb;
    const layers = maxLayersWithCapacity(model, { memoryMb, tokens: 20_000 });
    expect({
      layers,
      kvTokens: kvCapacityTokens(model, { memoryMb, layers }),
    }).toEqual({
      layers: 11,
      kvTokens: 20_217,
    });
  });
});
