import { describe, expect, it } from "vitest";
import type { LiveInstance } from "../following/mod.ts";
import { chooseUsageDestinations } from "./usage_destinations.ts";

function instances(sizes: Readonly<Record<string, number>>): LiveInstance[] {
  return Object.entries(sizes).flatMap(([failureDomain, size]) =>
    Array.from({ length: size }, (_, at) => {
      const instance = `${failureDomain}-${at}`;
      const peer = { host: instance, port: 1 };
      const state = { reachesEngines: true, takesHandoffs: true };
      return { instance, failureDomain, peer, ...state };
    }),
  );
}

/** Hosts to which an instance of domain `a` reports its own usage. */
function destinationHosts(others: readonly LiveInstance[]): string[] {
  return chooseUsageDestinations("a", others).ownUsage.map(({ host }) => host);
}

/** Hosts to which an instance of domain `a` reports its domain's usage. */
function domainUsageHosts(others: readonly LiveInstance[]): string[] {
  const { domainUsage } = chooseUsageDestinations("a", others);
  return domainUsage.map(({ host }) => host);
}

describe("usage destinations", () => {
  it("include all peers when there are few", () => {
    expect(destinationHosts(instances({ a: 1, b: 2 }))).toEqual([
      "a-0",
      "b-0",
      "b-1",
    ]);
    expect(domainUsageHosts(instances({ a: 1, b: 2 }))).toEqual([]);
  });

  // Guards against treating full engines of another domain as free because the
  // one sampled peer there has no answers on them.
  it("include only the same failure domain when there are many peers", () => {
    expect(destinationHosts(instances({ a: 3, b: 9, c: 9 }))).toEqual([
      "a-0",
      "a-1",
      "a-2",
    ]);
  });

  it("include other domains for the sum when there are many peers", () => {
    const hosts = domainUsageHosts(instances({ a: 3, b: 9, c: 9 }));
    expect(hosts).toHaveLength(18);
    expect(hosts.some((host) => host.startsWith("a"))).toBe(false);
  });

  it("exclude peers without an address", () => {
    const others = instances({ a: 2 }).map((other) => ({
      ...other,
      peer: null,
    }));
    expect(destinationHosts(others)).toEqual([]);
  });
});
