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

describe("the table of routes", () => {
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
  ])("finds for %s %s the route %s", (host, path, name) => {
    expect(table.find(host, path)?.name).toBe(name);
  });
});

describe("the configuration in force", () => {
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

  it("never goes back", () => {
    // A read that lags, or a peer that was cut off, brings an older version
    // after a newer one: a dropped key would be let in again.
    const keeper = createConfigurationKeeper();
    const seen: number[] = [];
    keeper.onChanged((applied) => seen.push(applied.version));
    for (const number of [3, 9, 4, 9, 12]) keeper.offer(version(number));
    expect(seen).toEqual([3, 9, 12]);
    expect(keeper.applied()?.version).toBe(12);
  });
});
