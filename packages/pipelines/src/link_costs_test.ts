import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { crossingCostMs, NEAR_ENTRY_COST_MS } from "./path_costs.ts";
import {
  createPipelineSearch,
  type SearchedEngine,
} from "./pipeline_search.ts";
import { idleLayerMs } from "./stage_time.ts";
import type { ModelShape } from "./types.ts";

const SEED = 58;
const LAYERS = 6;

const model = {
  name: "m",
  layerCount: LAYERS,
  stepMs: 1,
  prefillTokensPerMs: 164,
} as ModelShape;

const PAIRS = [
  ["a", "b"],
  ["a", "c"],
  ["b", "c"],
] as const;

type LinkCosts = ReadonlyMap<string, number>;

const linkKey = (one: string, other: string) => [one, other].sort().join();

const engines = fc
  .array(
    fc.record({
      from: fc.nat(LAYERS - 1),
      width: fc.integer({ min: 1, max: LAYERS }),
      failureDomain: fc.constantFrom("a", "b", "c"),
      stepFactor: fc.constantFrom(1, 16, 200),
    }),
    { minLength: 1, maxLength: 7 },
  )
  .map((list) =>
    list.map(
      ({ from, width, ...facts }, index): SearchedEngine => ({
        id: `e-${index}`,
        held: { from, to: Math.min(LAYERS, from + width) },
        ...facts,
      }),
    ),
  );
const linkCosts = fc
  .tuple(...PAIRS.map(() => fc.constantFrom(0, 0.5, 30, Infinity)))
  .map(
    (costs): LinkCosts =>
      new Map(PAIRS.map(([a, b], at) => [linkKey(a, b), costs[at] ?? 0])),
  );

/**
 * Cost of the cheapest path that enters no engine twice, by trying all that leave
 * an engine where its range ends or another one begins.
 */
function cheapest(
  candidates: readonly SearchedEngine[],
  links: LinkCosts,
  at = { layer: 0, domain: "a", used: new Set<string>() },
): number {
  const { layer, domain, used } = at;
  if (layer === LAYERS) return 0;
  let best = Infinity;
  for (const engine of candidates) {
    const { id, held, failureDomain } = engine;
    if (used.has(id) || layer < held.from || layer >= held.to) continue;
    const isFirst = layer === 0;
    const link = isFirst ? 0 : (links.get(linkKey(domain, failureDomain)) ?? 0);
    const hop =
      failureDomain === domain
        ? NEAR_ENTRY_COST_MS
        : crossingCostMs(isFirst) + link;
    for (let to = layer + 1; to <= held.to; to += 1) {
      const isStart = candidates.some((other) => other.held.from === to);
      if (to < held.to && !isStart) continue;
      const rest = cheapest(candidates, links, {
        layer: to,
        domain: failureDomain,
        used: new Set([...used, id]),
      });
      const ms = idleLayerMs(model, engine) * (to - layer);
      best = Math.min(best, hop + ms + rest);
    }
  }
  return best;
}

describe("links between failure domains", () => {
  it("are part of the cost, and aren't passed if they can't be used", () => {
    let crossings = 0;
    const property = fc.property(engines, linkCosts, (candidates, links) => {
      const search = createPipelineSearch(candidates, {
        model,
        failureDomain: "a",
      });
      search.isUsable.fill(1);
      for (const [a, b] of PAIRS)
        search.setLinkMs(a, b, links.get(linkKey(a, b)) ?? 0);
      const found = search.find();
      const domains = found?.stages.map(
        ({ engineId }) =>
          candidates.find(({ id }) => id === engineId)?.failureDomain,
      );
      if (new Set(domains).size > 1) crossings += 1;
      expect(found?.cost ?? Infinity).toBeCloseTo(
        cheapest(candidates, links),
        9,
      );
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
    expect(crossings).toBeGreaterThan(100);
  });
});
