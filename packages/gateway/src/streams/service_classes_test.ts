import { describe, expect, it } from "vitest";
import type { Organisation, Route } from "../configuration.ts";
import { classesOfService } from "./service_classes.ts";

function route(service: string, priority: number, isPublic = false): Route {
  return {
    name: `${service}-${priority}`,
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    resumable: true,
    shares: [{ service, weight: 1 }],
    timeoutMs: 20_000,
    objectiveMs: 500,
    pauseObjectiveMs: 500,
    maxAttempts: 2,
    priority,
    isPublic,
  };
}

function organisations(
  ...priorities: readonly (number | null)[]
): ReadonlyMap<string, Organisation> {
  return new Map(
    priorities.map((priority, at) => [
      `key-${at}`,
      { name: `${at}`, priority },
    ]),
  );
}

describe("classes of a service", () => {
  it.each([
    [
      "of its routes only",
      [route("chat", 2), route("chat", 0), route("x", 1)],
      null,
      [0, 2],
    ],
    [
      "of organisations too",
      [route("chat", 1)],
      organisations(null, 4),
      [1, 4],
    ],
    [
      "without routes whose priority no organisation has",
      [route("chat", 1)],
      organisations(4, 4),
      [4],
    ],
    ["of public routes", [route("chat", 1, true)], organisations(4), [1, 4]],
    [
      "that round to the same one once",
      [route("chat", 1), route("chat", 1.2)],
      null,
      [1],
    ],
    ["none without routes", [route("x", 1)], organisations(4), []],
  ] as const)("are those %s", (_, routes, callers, classes) => {
    const configuration = { routes, organisations: callers };
    expect(classesOfService(configuration, "chat")).toEqual(classes);
  });
});
