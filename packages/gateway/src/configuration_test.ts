import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type Configuration,
  createRouteTable,
  type Route,
} from "./configuration.ts";
import {
  type ConfigurationKeeper,
  createConfigurationKeeper,
} from "./following/mod.ts";

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: "idempotent",
    resumable: false,
    shares: [{ service: "s", weight: 1 }],
    timeoutMs: 1_000,
    objectiveMs: 100,
    pauseObjectiveMs: 0,
    maxAttempts: 1,
    priority: 1,
    isPublic: true,
  };
}

describe("route table", () => {
  const table = createRouteTable([
    route("short", "x.example", "/a/"),
    route("long", "x.example", "/a/b/"),
    route("other", "y.example", "/"),
  ]);

  it.each([
    ["x.example", "/a/1", "short"],
    ["x.example", "/a/b/1", "long"],
    ["x.example", "/a/b", "short"],
    ["X.Example:8080", "/a/", "short"],
    ["y.example", "/a/b/1", "other"],
    ["x.example", "/b/", undefined],
    ["z.example", "/a/", undefined],
    ["", "/a/", undefined],
  ])("maps host %s and path %s to route %s", (host, path, name) => {
    expect(table.find(host, path)?.name).toBe(name);
  });
});

describe("configuration keeper", () => {
  function version(number: number): Configuration {
    return {
      version: number,
      routes: [],
      services: new Map(),
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      organisations: null,
    };
  }

  it("ignores versions that are not newer than the applied one", () => {
    // A lagging read, or a peer that was cut off, may deliver an older version
    // after a newer one. Applying it would accept a revoked key again.
    const keeper = createConfigurationKeeper();
    const seen: number[] = [];
    keeper.onChanged((applied) => seen.push(applied.version));
    for (const number of [3, 9, 4, 9, 12]) keeper.offer(version(number));
    expect(seen).toEqual([3, 9, 12]);
    expect(keeper.applied()?.version).toBe(12);
  });

  describe("a request that another instance has accepted", () => {
    beforeEach(() => {
      vi.useFakeTimers();
    });
    afterEach(() => {
      vi.useRealTimers();
    });

    function decidingVersion(acceptedForMs: number, { by }: { by: number }) {
      const acceptedAt = performance.now() - acceptedForMs;
      return keeper.inForceFor({ version: by, acceptedAt })?.version;
    }

    let keeper: ConfigurationKeeper;
    beforeEach(() => {
      keeper = createConfigurationKeeper();
      const routes = [{ ...route("r", "x", "/"), timeoutMs: 30_000 }];
      for (const number of [3, 9]) {
        keeper.offer({ ...version(number), routes });
        vi.advanceTimersByTime(10_000);
      }
    });

    it("is decided by its version if that was in force", () => {
      expect(decidingVersion(10_500, { by: 3 })).toBe(3);
      expect(decidingVersion(60_000, { by: 3 })).toBe(3);
      expect(decidingVersion(10_500, { by: 9 })).toBe(9);
    });

    it("is decided by the version in force if its own had been replaced", () => {
      expect(decidingVersion(9_500, { by: 3 })).toBe(3);
      expect(decidingVersion(8_500, { by: 3 })).toBe(9);
      expect(decidingVersion(0, { by: 3 })).toBe(9);
    });

    it("is decided by the version in force if its own isn't known", () => {
      for (const by of [0, 2, 4, 10])
        expect(decidingVersion(10_500, { by })).toBe(9);
    });

    // Guards against withdrawn keys that stay valid between instances.
    it("is decided by a version that may have requests in progress", () => {
      expect(decidingVersion(40_000, { by: 3 })).toBe(3);
      vi.advanceTimersByTime(21_500);
      expect(decidingVersion(40_000, { by: 3 })).toBe(9);
    });

    // Guards against a memory that grows with each version.
    it("is decided by one of the latest versions", () => {
      keeper.offer(version(10));
      expect(decidingVersion(40_000, { by: 9 })).toBe(9);
      for (let number = 11; number < 30; number += 1)
        keeper.offer(version(number));
      expect(decidingVersion(40_000, { by: 9 })).toBe(29);
    });
  });
});
