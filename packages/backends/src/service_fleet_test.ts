import type { ServiceSettings } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { ServiceResult } from "./service_client.ts";
import { createServiceFleet, type ServiceFleet } from "./service_fleet.ts";

const HEALTHY = 200;
const LEAVING = 503;

function serverAt(port: number) {
  const address = { host: "127.0.0.1", port };
  return { id: `server-${port}`, failureDomain: "a", address };
}

const servers = [serverAt(1), serverAt(2)];
const [first, second] = servers as [(typeof servers)[0], (typeof servers)[0]];

const service: ServiceSettings = {
  name: "dealer-app",
  servers,
  health: { path: "/health" },
  calls: [{ method: "GET", path: "/stock", idempotent: true }],
  timeoutMs: 1_000,
};

function answer(status: number, leaving = false): ServiceResult {
  const body = Buffer.alloc(0);
  const contentType = "text/plain";
  const response = { status, contentType, body, isDelimited: true };
  return { kind: "answer", answer: response, leaving };
}

const request = {
  method: "GET",
  path: "/stock",
  headers: {},
  body: Buffer.alloc(0),
};

let fleet: ServiceFleet | null = null;
beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
  fleet?.stop();
  vi.useRealTimers();
});

function createFleet(options: {
  readonly answer: (port: number, path: string) => ServiceResult;
  readonly random?: number;
}): ServiceFleet {
  fleet = createServiceFleet({
    services: [service],
    client: {
      send: async ({ port }, { path }) => options.answer(port, path),
    },
    random: () => options.random ?? 0,
  });
  return fleet;
}

describe("service fleet", () => {
  it("excludes a server within a second of its leaving health status", async () => {
    // A server that is shutting down reports this on its health path, while
    // the platform's list still shows it as live.
    let status = HEALTHY;
    const testFleet = createFleet({
      answer: (port) => answer(port === 1 ? status : HEALTHY),
    });
    await vi.advanceTimersByTimeAsync(0);
    expect(testFleet.choose(servers)).toEqual([first, second]);
    status = LEAVING;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(testFleet.choose(servers)).toEqual([second]);
    status = HEALTHY;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(testFleet.choose(servers)).toEqual([first, second]);
  });

  it("excludes a server once a response marks it as leaving", async () => {
    const testFleet = createFleet({ answer: () => answer(HEALTHY, true) });
    await testFleet.send(first, request, { timeoutMs: 1_000 });
    expect(testFleet.choose([first])).toEqual([]);
  });

  it("orders a failing server last and restores it slowly", async () => {
    // A server responds with 500 to every call. It must move to the end after
    // its first failures, and its first success must not restore its full
    // share of the calls.
    let status = 500;
    const testFleet = createFleet({
      answer: (_port, path) => answer(path === "/health" ? HEALTHY : status),
      random: 0.5,
    });
    const send = () => testFleet.send(first, request, { timeoutMs: 1_000 });
    await send();
    await send();
    expect(testFleet.choose(servers)).toEqual([second, first]);
    status = HEALTHY;
    await send();
    expect(testFleet.choose(servers)).toEqual([second, first]);
    for (let count = 0; count < 10; count++) await send();
    expect(testFleet.choose(servers)).toEqual([first, second]);
  });
});
