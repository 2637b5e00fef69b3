import { describe, expect, it } from "vitest";
import { chooseRelays } from "./relay_choice.ts";

function instancesOf(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    instance: `i-${String(index).padStart(3, "0")}`,
    peer: { host: `10.0.0.${index}`, port: 1 },
  }));
}

/** Hosts of the relays that each of `count` instances may follow. */
function relayHostsByInstance(count: number): string[][] {
  const all = instancesOf(count);
  return all.map(({ instance }) => {
    const others = all.filter((other) => other.instance !== instance);
    return chooseRelays(instance, others).map(({ host }) => host);
  });
}

describe("relay choice", () => {
  it("selects no relays among few instances", () => {
    expect(relayHostsByInstance(3).flat()).toEqual([]);
  });

  it("gives all followers the same two relays, starting in turn", () => {
    expect(relayHostsByInstance(6)).toMatchSnapshot();
  });

  it("selects one relay per eight instances with equally many followers", () => {
    const followed = relayHostsByInstance(42).flatMap(([first]) => first ?? []);
    const counts = new Map<string, number>();
    for (const host of followed) counts.set(host, (counts.get(host) ?? 0) + 1);
    expect(followed.length).toBe(36);
    expect([...counts.values()]).toEqual([6, 6, 6, 6, 6, 6]);
  });

  it("skips relays without an address", () => {
    const others = instancesOf(5).map((other, index) =>
      index === 0 ? { ...other, peer: null } : other,
    );
    expect(chooseRelays("z", others)).toEqual([{ host: "10.0.0.1", port: 1 }]);
  });
});
