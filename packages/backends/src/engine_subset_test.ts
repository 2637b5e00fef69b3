import type { EngineSettings } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { chooseEngines, type SubsetMember } from "./engine_subset.ts";

/** Engines of four roles, spread over the domains. */
function enginesOf(count: number, domains: number): EngineSettings[] {
  return Array.from({ length: count }, (_, index) => {
    const from = (Math.floor(index / domains) % 4) * 12;
    return {
      id: `engine-${index}`,
      failureDomain: `domain-${index % domains}`,
      address: { host: "127.0.0.1", port: 1 + index },
      accelerator: "fast",
      checksFencing: true,
      roles: [{ model: "assist", layers: { from, to: from + 12 } }],
    };
  });
}

function membersOf(count: number, domains: number): SubsetMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `entry-${index}`,
    failureDomain: `domain-${index % domains}`,
  }));
}

const engines = enginesOf(650, 8);
const members = membersOf(340, 8);
const chooseAll = (live: readonly SubsetMember[]) =>
  live.map((self) => chooseEngines(engines, { self, members: live }));

describe("engine subset", () => {
  it("contains all engines of a small deployment", () => {
    const few = enginesOf(40, 3);
    for (const self of membersOf(4, 3)) {
      const subset = chooseEngines(few, { self, members: membersOf(4, 3) });
      expect(subset.used.size).toBe(40);
      expect(subset.watched.size).toBe(40);
    }
  });

  it("contains engines of each role, from its own domain if possible", () => {
    for (const self of members.slice(0, 16)) {
      const { used, watched } = chooseEngines(engines, { self, members });
      const chosen = engines.filter(({ id }) => used.has(id));
      for (const from of [0, 12, 24, 36]) {
        const group = chosen.filter(
          ({ roles }) => roles[0]?.layers.from === from,
        );
        expect(group.length).toBeGreaterThanOrEqual(4);
      }
      const far = chosen.filter(
        ({ id, failureDomain }) =>
          failureDomain !== self.failureDomain && !watched.has(id),
      );
      expect(far).toEqual([]);
    }
  });

  it("contains engines without roles by whole domains, its own first", () => {
    // Placement keeps pipelines within a domain. Four of 650 engines without
    // roles would not cover any model, and every answer would be refused.
    const placed = engines.map((engine) => ({ ...engine, roles: [] }));
    for (const self of members.slice(0, 16)) {
      const { used, watched } = chooseEngines(placed, { self, members });
      const domains = ["own", "other"].map((which) =>
        placed.filter(({ id, failureDomain }) => {
          const isOwn = failureDomain === self.failureDomain;
          return isOwn === (which === "own") && used.has(id);
        }),
      );
      expect(domains[0]).toHaveLength(
        placed.filter((engine) => engine.failureDomain === self.failureDomain)
          .length,
      );
      const others = new Set(
        domains[1]
          ?.filter(({ id }) => !watched.has(id))
          .map(({ failureDomain }) => failureDomain),
      );
      expect(others.size).toBe(1);
    }
  });

  it("gives each engine two watchers that also use it", () => {
    const watchers = new Map<string, number>();
    for (const { used, watched } of chooseAll(members)) {
      for (const id of watched) {
        watchers.set(id, (watchers.get(id) ?? 0) + 1);
        expect(used.has(id)).toBe(true);
      }
    }
    expect(watchers.size).toBe(650);
    expect(new Set(watchers.values())).toEqual(new Set([2]));
  });

  it("watches engines from other domains when their own has no instances", () => {
    // All instances of one domain are lost. Its engines are still used from
    // other domains, so some instance must detect when one is leaving.
    const rest = members.filter(
      (member) => member.failureDomain !== "domain-3",
    );
    const watched = new Set(
      chooseAll(rest).flatMap((subset) => [...subset.watched]),
    );
    expect(watched.size).toBe(650);
  });

  it("changes little when an instance is removed", () => {
    // 99 instances are replaced per day. If each replacement moved all engines,
    // every instance would reset its windows and connections each time.
    const before = chooseAll(members);
    const after = chooseAll(members.slice(1));
    let moved = 0;
    after.forEach(({ used, watched }, index) => {
      const old = before[index + 1];
      for (const id of watched) if (!old?.watched.has(id)) moved += 1;
      const lost = [...(old?.used ?? [])].filter((id) => !used.has(id));
      expect(lost).toEqual([]);
    });
    expect(moved).toBe(before[0]?.watched.size);
  });
});
