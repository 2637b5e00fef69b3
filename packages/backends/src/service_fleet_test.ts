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
  return { kind: "answer", answer: { status, contentType, body }, leaving };
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

describe("servers of a plain service", () => {
  it("get nothing new within a second of saying that they leave", async () => {
    // A server is told to stop and says so on its health path, while the
    // platform's list goes on to call it live.
    let status = HEALTHY;
    const known = createFleet({
      answer: (port) => answer(port === 1 ? status : HEALTHY),
    });
    await vi.advanceTimersByTimeAsync(0);
    expect(known.choose(servers)).toEqual([first, second]);
    status = LEAVING;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(known.choose(servers)).toEqual([second]);
    status = HEALTHY;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(known.choose(servers)).toEqual([first, second]);
  });

  it("get nothing new once an answer says that they leave", async () => {
    const known = createFleet({ answer: () => answer(HEALTHY, true) });
    await known.send(first, request, { timeoutMs: 1_000 });
    expect(known.choose([first])).toEqual([]);
  });

  it("come last after failures, and return slowly", async () => {
    // A server answers 500 to all. It was tried first for half of the calls;
    // now it falls behind at once, and a first success does not bring it all
    // of its calls back.
    let status = 500;
    const known = createFleet({
      answer: (_port, path) => answer(path === "/health" ? HEALTHY : status),
      random: 0.5,
    });
    const send = () => known.send(first, request, { timeoutMs: 1_000 });
    await send();
    await send();
    expect(known.choose(servers)).toEqual([second, first]);
    status = HEALTHY;
    await send();
    expect(known.choose(servers)).toEqual([second, first]);
    for (let count = 0; count < 10; count++) await send();
    expect(known.choose(servers)).toEqual([first, second]);
  });
});
