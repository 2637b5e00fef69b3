import { describe, expect, it } from "vitest";
import {
  type Configuration,
  createRouteTable,
  type Route,
} from "./configuration.ts";
import { createConfigurationKeeper } from "./following/mod.ts";

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
});
