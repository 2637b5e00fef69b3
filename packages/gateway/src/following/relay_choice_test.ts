import { describe, expect, it } from "vitest";
import { chooseRelays } from "./relay_choice.ts";

function instancesOf(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    instance: `i-${String(index).padStart(3, "0")}`,
    peer: { host: `10.0.0.${index}`, port: 1 },
  }));
}

/** Hosts of the relays that each of so many instances follows. */
function choices(count: number): string[][] {
  const all = instancesOf(count);
  return all.map(({ instance }) => {
    const others = all.filter((one) => one.instance !== instance);
    return chooseRelays(instance, others).map(({ host }) => host);
  });
}

describe("the choice of relays", () => {
  it("is none among few instances", () => {
    expect(choices(3).flat()).toEqual([]);
  });

  it("is the same two for all others, beginning in turn", () => {
    expect(choices(6)).toMatchSnapshot();
  });

  it("has one relay for eight instances, each with as many followers", () => {
    const followed = choices(42).flatMap(([first]) => first ?? []);
    const counts = new Map<string, number>();
    for (const host of followed) counts.set(host, (counts.get(host) ?? 0) + 1);
    expect(followed.length).toBe(36);
    expect([...counts.values()]).toEqual([6, 6, 6, 6, 6, 6]);
  });

  it("leaves relays out that can't be reached", () => {
    const others = instancesOf(5).map((one, index) =>
      index === 0 ? { ...one, peer: null } : one,
    );
    expect(chooseRelays("z", others)).toEqual([{ host: "10.0.0.1", port: 1 }]);
  });
});
