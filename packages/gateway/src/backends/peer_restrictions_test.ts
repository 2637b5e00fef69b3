import type { PeerCaller, PeerMethods } from "@rosemarypin/membership";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import type { EngineCalls } from "../protocol.ts";
import { type BackendFleet, createBackendFleet } from "./backend_fleet.ts";
import {
  copyRestrictions,
  createRestrictionMethods,
} from "./peer_restrictions.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function server(id: string, startedAt = 1): BackendServer {
  return {
    id,
    startedAt,
    service: "shop",
    address: id,
    failureDomain: "a",
    kind: null,
    renewal: 1,
    leaving: false,
    held: null,
  } as BackendServer;
}

function createFleet(...servers: readonly BackendServer[]): BackendFleet {
  const fleet = createBackendFleet({
    engines: {} as EngineCalls,
    canConnect: async () => true,
    countInstances: () => 2,
    failureDomain: "a",
    signal: AbortSignal.abort(),
  });
  for (const server of servers) fleet.put(server);
  return fleet;
}

/** What another instance does when it is called; or never answers. */
type Other = PeerMethods | "unknown_method" | "silent";

/** Copies what the others know; returns the ports that were called. */
async function copyFrom(
  fleet: BackendFleet,
  others: readonly Other[],
  domainOf: (index: number) => string = () => "a",
): Promise<number[]> {
  const called: number[] = [];
  const caller: PeerCaller = {
    async call({ port }, method, { timeoutMs = 0 } = {}) {
      called.push(port);
      const other = others[port] ?? "silent";
      if (other === "unknown_method") return { kind: "rejected", detail: "" };
      if (other !== "silent") {
        const value: unknown = await other[method]?.({});
        return { kind: "ok", value: JSON.parse(JSON.stringify(value)) };
      }
      await new Promise((resolve) => setTimeout(resolve, timeoutMs));
      return { kind: "unreachable", detail: "" };
    },
  };
  const copying = copyRestrictions({
    fleet,
    failureDomain: "a",
    caller,
    others: others.map((_, port) => ({
      failureDomain: domainOf(port),
      peer: { host: "10.0.0.1", port },
    })),
  });
  await vi.advanceTimersByTimeAsync(1_000);
  await copying;
  return called;
}

/** Another instance with the answer, whatever it holds. */
function answering(answer: unknown): PeerMethods {
  const [method = ""] = Object.keys(createRestrictionMethods(createFleet()));
  return { [method]: () => answer };
}

function restriction(change: object = {}): object {
  return {
    id: "s",
    startedAt: 1,
    requestsPerSecond: 5,
    backoffMs: 3_000,
    ...change,
  };
}

describe("an instance that starts", () => {
  // Guards against servers that get a burst from each process that starts.
  it("takes over limits and what is left of backoffs", async () => {
    const other = createFleet(server("s"), server("t"));
    other.limits.record(server("s"), 5);
    other.backoffs.record(server("s"), 10);
    await vi.advanceTimersByTimeAsync(4_000);
    const fleet = createFleet(server("s"), server("t"));
    await copyFrom(fleet, [createRestrictionMethods(other)]);
    expect(fleet.limits.limitOf(server("s"))).toBe(5);
    // A second passes while the answer is waited for in this test.
    expect(fleet.backoffs.remainingMs(server("s"))).toBe(5_000);
    expect(fleet.limits.limitOf(server("t"))).toBeNull();
    expect(fleet.backoffs.remainingMs(server("t"))).toBe(0);
  });

  it("applies them before the first request to a server listed later", async () => {
    const fleet = createFleet();
    await copyFrom(fleet, [answering([restriction()])]);
    await vi.advanceTimersByTimeAsync(500);
    fleet.put(server("s"));
    expect(fleet.limits.limitOf(server("s"))).toBe(5);
    expect(fleet.backoffs.remainingMs(server("s"))).toBe(1_500);
  });

  it("takes the lowest limit and the longest backoff of several", async () => {
    const fleet = createFleet(server("s"));
    await copyFrom(fleet, [
      answering([restriction({ requestsPerSecond: 9 })]),
      answering([restriction({ requestsPerSecond: null, backoffMs: 9_000 })]),
      answering([restriction({ requestsPerSecond: 7, backoffMs: 0 })]),
    ]);
    expect(fleet.limits.limitOf(server("s"))).toBe(7);
    expect(fleet.backoffs.remainingMs(server("s"))).toBe(8_000);
  });

  it("keeps what the server itself has told it", async () => {
    const fleet = createFleet(server("s"));
    fleet.limits.record(server("s"), 50);
    fleet.backoffs.record(server("s"), 20);
    await copyFrom(fleet, [answering([restriction()])]);
    expect(fleet.limits.limitOf(server("s"))).toBe(50);
    expect(fleet.backoffs.remainingMs(server("s"))).toBe(19_000);
  });

  it("applies nothing to another start of the server", async () => {
    const fleet = createFleet(server("s", 2));
    await copyFrom(fleet, [answering([restriction({ startedAt: 1 })])]);
    expect(fleet.limits.limitOf(server("s", 2))).toBeNull();
    await copyFrom(fleet, [answering([restriction({ startedAt: 3 })])]);
    expect(fleet.limits.limitOf(server("s", 2))).toBeNull();
    fleet.put(server("s", 3));
    expect(fleet.limits.limitOf(server("s", 3))).toBe(5);
  });

  // Guards against an answer that excludes a server for good, or one malformed
  // element that costs the rest.
  it("leaves out what is malformed or beyond its bounds", async () => {
    const fleet = createFleet(server("s"), server("t"));
    const odd = [
      restriction({ id: 5 }),
      restriction({ requestsPerSecond: -1 }),
      restriction({ requestsPerSecond: "5" }),
      restriction({ backoffMs: 1e12 }),
      restriction({ startedAt: null }),
      null,
    ];
    const sound = restriction({ id: "t" });
    await copyFrom(fleet, [
      answering([...odd, sound]),
      answering(Array.from({ length: 2_000 }, () => restriction())),
      answering("text"),
    ]);
    expect(fleet.limits.limitOf(server("s"))).toBeNull();
    expect(fleet.backoffs.remainingMs(server("s"))).toBe(0);
    expect(fleet.limits.limitOf(server("t"))).toBe(5);
  });

  it("goes on without answers of some of the others", async () => {
    const fleet = createFleet(server("s"));
    const others = ["silent", "unknown_method", answering([restriction()])];
    await copyFrom(fleet, others as Other[]);
    expect(fleet.limits.limitOf(server("s"))).toBe(5);
  });

  it("asks three at most, those of its failure domain first", async () => {
    const others = Array.from({ length: 40 }, () => answering([]));
    const called = await copyFrom(createFleet(), others, (index) =>
      index < 38 ? "b" : "a",
    );
    expect(called).toHaveLength(3);
    expect(called).toEqual(expect.arrayContaining([38, 39]));
  });
});
