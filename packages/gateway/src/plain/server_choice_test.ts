import { describe, expect, it } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import {
  type BackendFleet,
  createRequestedBackoffs,
  createRequestLimits,
} from "../backends/mod.ts";
import { createServerChoice } from "./server_choice.ts";

function server(id: string, failureDomain: string, leaving = false) {
  return { id, service: "s", failureDomain, leaving } as BackendServer;
}

function setUp(servers: BackendServer[], suspected: readonly string[] = []) {
  const fleet = {
    ofService: () => [...servers],
    isUsable: ({ id, leaving }: BackendServer) =>
      !leaving && !suspected.includes(id),
    backoffs: createRequestedBackoffs(),
    limits: createRequestLimits({
      failureDomain: "a",
      countInstances: () => 1,
    }),
  } as unknown as BackendFleet;
  const choice = createServerChoice({ fleet, failureDomain: "a" });
  return { ...choice, limits: fleet.limits, backoffs: fleet.backoffs };
}

const none = new Set<string>();

describe("server choice", () => {
  it("prefers the local domain and spreads calls as they accumulate", () => {
    const choice = setUp([server("x", "a"), server("y", "b")]);
    const chosen = Array.from({ length: 4 }, () => {
      const { id = "" } = choice.choose("s", none) ?? {};
      choice.requestStarted(id);
      return id;
    });
    expect(chosen).toEqual(["x", "y", "x", "y"]);
  });

  it("never chooses a leaving server, even if it is the only one", () => {
    const choice = setUp([server("x", "a", true)]);
    expect(choice.choose("s", none)).toBeNull();
  });

  it("chooses a suspected server only if there is no other", () => {
    const both = setUp([server("x", "a"), server("y", "b")], ["x"]);
    expect(both.choose("s", none)?.id).toBe("y");
    const alone = setUp([server("x", "a")], ["x"]);
    expect(alone.choose("s", none)?.id).toBe("x");
  });

  it("avoids a server whose calls fail fast though it is not suspected", () => {
    const choice = setUp([server("x", "a"), server("y", "b")]);
    for (let call = 0; call < 3; call += 1) {
      choice.requestStarted("x");
      choice.requestEnded("x", { tookMs: 2, succeeded: false });
    }
    expect(choice.choose("s", none)?.id).toBe("y");
  });

  // Guards against calls beyond the limit of a server, and against waiting for
  // a server while all are at their limits.
  it("keeps to the limits of servers", () => {
    const servers = [server("x", "a"), server("y", "b")];
    const { choose, limits } = setUp(servers);
    for (const one of servers) limits.record(one, 1);
    const chosen = [1, 2, 3].map(() => choose("s", none)?.id);
    expect(chosen).toEqual(["x", "y", undefined]);
  });

  it("keeps to the limit of a suspected server that is the only one", () => {
    const servers = [server("x", "a")];
    const { choose, limits } = setUp(servers, ["x"]);
    limits.record(server("x", "a"), 1);
    const chosen = [1, 2].map(() => choose("s", none)?.id);
    expect(chosen).toEqual(["x", undefined]);
  });

  // Guards against requests to a server that has asked for none, because it is
  // the last one or the others are suspected.
  it("never chooses a server that asked for a backoff", () => {
    const servers = [server("x", "a"), server("y", "b")];
    const { choose, backoffs } = setUp(servers, ["y"]);
    backoffs.record(server("x", "a"), 3);
    expect(choose("s", none)?.id).toBe("y");
    backoffs.record(server("y", "b"), 3);
    expect(choose("s", none)).toBeNull();
  });
});
