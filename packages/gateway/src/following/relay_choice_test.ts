import { describe, expect, it } from "vitest";
import { chooseRelays, type DomainInstance } from "./relay_choice.ts";

function instancesOf(count: number): DomainInstance[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: `i-${String(index).padStart(3, "0")}`,
    peer: { host: `10.0.0.${index}`, port: 1 },
  }));
}

/** What each of the instances chooses, by name. */
function choicesOf(
  all: readonly DomainInstance[],
  failedHosts: readonly string[] = [],
) {
  return all.map((own) => {
    const { isRelay, relays } = chooseRelays({
      own,
      others: all.filter(({ instance }) => instance !== own.instance),
      isPassedOver: ({ host }) => failedHosts.includes(host),
    });
    return {
      instance: own.instance,
      isRelay,
      hosts: relays.map(({ host }) => host),
    };
  });
}

/** Hosts of the relays that each of `count` instances may follow. */
function relayHostsByInstance(count: number): string[][] {
  return choicesOf(instancesOf(count)).map(({ hosts }) => hosts);
}

function namesOfRelays(all: readonly DomainInstance[]): string[] {
  return choicesOf(all)
    .filter(({ isRelay }) => isRelay)
    .map(({ instance }) => instance);
}

describe("relay choice", () => {
  it("selects no relays among few instances", () => {
    expect(relayHostsByInstance(3).flat()).toEqual([]);
  });

  it("gives all followers the same two relays, starting in turn", () => {
    expect(relayHostsByInstance(6)).toMatchSnapshot();
  });

  // Guards against a store that has more readers with each instance, and
  // against relays with more followers than a small processor serves.
  it.each([
    [4, 2],
    [48, 2],
    [80, 2],
    [81, 3],
    [120, 3],
    [121, 4],
  ])(
    "selects for %i instances %i relays with equally many followers",
    (count, relayCount) => {
      const followed = relayHostsByInstance(count).flatMap(
        ([first]) => first ?? [],
      );
      const counts = new Map<string, number>();
      for (const host of followed)
        counts.set(host, (counts.get(host) ?? 0) + 1);
      expect(followed.length).toBe(count - relayCount);
      expect(counts.size).toBe(relayCount);
      const sizes = [...counts.values()];
      expect(Math.max(...sizes) - Math.min(...sizes)).toBeLessThanOrEqual(1);
      expect(Math.max(...sizes)).toBeLessThanOrEqual(40);
    },
  );

  // Guards against relays with a quarter of a core while others have a whole.
  it("selects large instances whatever their names", () => {
    const all = instancesOf(8).map((one, index) => ({
      ...one,
      ability: index === 5 || index === 7 ? 68 : 23,
    }));
    expect(namesOfRelays(all)).toEqual(["i-005", "i-007"]);
  });

  it("sorts an instance whose ability is unknown last", () => {
    const all = instancesOf(6).map((one, index) =>
      index < 3 ? one : { ...one, ability: index === 3 ? 0 : 23 },
    );
    expect(namesOfRelays(all)).toEqual(["i-004", "i-005"]);
    const mostlyUnknown = instancesOf(6).map((one, index) =>
      index === 4 ? { ...one, ability: 0 } : one,
    );
    expect(namesOfRelays(mostlyUnknown)).toEqual(["i-000", "i-004"]);
  });

  // Guards against instances without relays for the 20 s until the presence of
  // relays that were killed together expires.
  it("takes the next instances when both relays have failed", () => {
    const choices = choicesOf(instancesOf(8), ["10.0.0.0", "10.0.0.1"]);
    const standIns = choices.slice(2, 4);
    expect(standIns.map(({ isRelay }) => isRelay)).toEqual([true, true]);
    for (const { hosts } of choices.slice(4))
      expect([...hosts].sort()).toEqual(["10.0.0.2", "10.0.0.3"]);
  });

  it("prefers a regular relay to one that stands in", () => {
    const choices = choicesOf(instancesOf(8), ["10.0.0.0"]);
    for (const { hosts } of choices.slice(3))
      expect(hosts).toEqual(["10.0.0.1", "10.0.0.2"]);
  });

  // Guards against an instance that is cut off and calls its whole domain.
  it("has none left when the stand-ins have failed too", () => {
    const failed = [0, 1, 2, 3].map((index) => `10.0.0.${index}`);
    const last = choicesOf(instancesOf(8), failed).at(-1);
    expect(last).toMatchObject({ isRelay: false, hosts: [] });
  });

  it("skips relays without an address", () => {
    const others = instancesOf(5).map((other, index) =>
      index === 0 ? { ...other, peer: null } : other,
    );
    const { relays } = chooseRelays({ own: { instance: "z" }, others });
    expect(relays).toEqual([{ host: "10.0.0.1", port: 1 }]);
  });
});
