import type { Demand } from "@rosemarypin/admission";
import type { Address } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDemandBoard } from "./demand_board.ts";
import { createEngineUsage } from "./engine_usage.ts";
import { encodeUsageReport, type UsageReport } from "./usage_datagram.ts";
import { startUsageExchange } from "./usage_exchange.ts";
import { createHashIndex } from "./usage_records.ts";

const SERVICES = ["chat"];
const ENGINE_IDS = Array.from({ length: 90 }, (_, at) => `engine-${at}`);

const { logged } = vi.hoisted(() => ({
  logged: [] as { event: string; fields: Readonly<Record<string, unknown>> }[],
}));

vi.mock(import("@rosemarypin/telemetry"), async (importOriginal) => {
  const write = (event: string, fields = {}) => {
    logged.push({ event, fields });
  };
  const logger = { info: write, warn: write, detail: write };
  return { ...(await importOriginal()), createLogger: () => logger };
});

const abortControllers: AbortController[] = [];

beforeEach(() => {
  logged.length = 0;
  vi.useFakeTimers();
});

afterEach(() => {
  for (const controller of abortControllers.splice(0)) controller.abort();
  vi.useRealTimers();
  vi.restoreAllMocks();
});

/** Failure domain of a host: the part of its name before a slash. */
function domainOf(host: string): string {
  return host.split("/")[0] ?? "";
}

function createNetwork() {
  const receivers = new Map<string, (datagram: Uint8Array) => void>();
  const sentBytes = new Map<string, number>();
  const cut = new Set<string>();
  return {
    sentBytes,
    /** Hosts that neither send nor receive. */
    cut,
    deliver: (host: string, bytes: Uint8Array) => receivers.get(host)?.(bytes),
    transport: (host: string) => ({
      send(datagram: Uint8Array, target: Address) {
        sentBytes.set(host, (sentBytes.get(host) ?? 0) + datagram.length);
        if (cut.has(host) || cut.has(target.host)) return;
        receivers.get(target.host)?.(datagram);
      },
      onDatagram(receiver: (datagram: Uint8Array) => void) {
        receivers.set(host, receiver);
      },
      close: async () => {},
    }),
  };
}

/** Starts instances that report to all, or to their domain and sums beyond. */
function start(
  hosts: readonly string[],
  options: {
    readonly isFullMesh?: boolean;
    /** Hosts that are live, but of which the test sends the reports. */
    readonly simulated?: readonly string[];
  } = {},
) {
  const { isFullMesh = true, simulated = [] } = options;
  const network = createNetwork();
  const started = hosts.filter((host) => !simulated.includes(host));
  const instances = started.map((instance) => {
    const others = hosts
      .filter((host) => host !== instance)
      .map((host) => ({ instance: host, failureDomain: domainOf(host) }));
    const isNear = ({ failureDomain }: { readonly failureDomain: string }) =>
      isFullMesh || failureDomain === domainOf(instance);
    const addressOf = (other: { readonly instance: string }) => ({
      host: other.instance,
      port: 1,
    });
    const destinations = {
      ownUsage: others.filter(isNear).map(addressOf),
      domainUsage: others.filter((other) => !isNear(other)).map(addressOf),
    };
    const usage = createEngineUsage();
    const board = createDemandBoard({
      failureDomain: domainOf(instance),
      liveOthers: () => others,
    });
    const abortController = new AbortController();
    abortControllers.push(abortController);
    startUsageExchange({
      transport: network.transport(instance),
      instance,
      address: { host: instance, port: 1 },
      failureDomain: domainOf(instance),
      usage,
      demand: board,
      destinations: () => destinations,
      engineIds: () => ENGINE_IDS,
      serviceNames: () => SERVICES,
      countDomainInstances: () =>
        hosts.filter((host) => domainOf(host) === domainOf(instance)).length,
      signal: abortController.signal,
    });
    const classOf = (priority: number) => board.total("chat").get(priority);
    return { usage, board, classOf };
  });
  return { network, instances };
}

/** Demand of service `chat` that holds tokens of class 0. */
function holding(held: number): Demand {
  const demand = { arrivingPerSecond: 0, waiting: 0, held };
  return new Map([["chat", new Map([[0, demand]])]]);
}

/** A report of instance `a/2`, as it is encoded. */
function datagramOf(report: Partial<UsageReport> = {}): Buffer {
  const header = { from: "a/2", sequence: 1, startedAt: 5 };
  return encodeUsageReport(
    { ...header, loads: new Map(), ...report },
    {
      engines: createHashIndex(() => ENGINE_IDS),
      services: createHashIndex(() => SERVICES),
    },
  );
}

/** A report with other parameters than an instance would send. */
function datagramWith(params: Readonly<Record<string, unknown>>): Buffer {
  const valid = { from: "a/2", sequence: 9, startedAt: 5, use: "" };
  const method = "engines.use";
  return Buffer.from(
    JSON.stringify({ jsonrpc: "2.0", method, params: { ...valid, ...params } }),
  );
}

function base64(...bytes: readonly number[]): string {
  return Buffer.from(bytes).toString("base64");
}

describe("exchange of demand", () => {
  it("tells all instances within 50 ms that urgent requests wait", async () => {
    const { instances } = start(["a/1", "a/2", "b/1"]);
    const [first] = instances;
    first?.board.heldChanged("chat", 2, 100_000);
    await vi.advanceTimersByTimeAsync(1_500);
    first?.board.waitingChanged("chat", 0, 500);
    await vi.advanceTimersByTimeAsync(50);
    for (const { classOf } of instances) {
      expect(classOf(0)?.waiting).toBe(500);
      expect(classOf(2)?.held).toBe(100_000);
    }
  });

  it("tells other domains the sum of a domain", async () => {
    const hosts = ["a/1", "a/2", "b/1", "b/2"];
    const { instances } = start(hosts, { isFullMesh: false });
    instances[0]?.board.heldChanged("chat", 1, 700);
    instances[1]?.board.heldChanged("chat", 1, 300);
    instances[2]?.board.heldChanged("chat", 1, 50);
    await vi.advanceTimersByTimeAsync(2_500);
    for (const { classOf, board } of instances) {
      expect(classOf(1)?.held).toBe(1_050);
      expect(board.ofDomain("chat", "a")?.get(1)?.held).toBe(1_000);
    }
  });

  // Control traffic of an instance is bounded at 3 KB/s.
  it("with many classes and engines stays within 3 KB/s", async () => {
    const hosts = ["a", "b", "c"].flatMap((domain) =>
      Array.from({ length: 14 }, (_, at) => `${domain}/${at}`),
    );
    const { network, instances } = start(hosts, { isFullMesh: false });
    const stages = ENGINE_IDS.map((engineId, from) => ({
      engineId,
      address: "x",
      range: { from, to: from + 1 },
    }));
    for (let second = 1; second <= 60; second += 1) {
      for (const { board, usage } of instances.slice(0, 2)) {
        const answer = { tokens: 1_000 * second, unreadTokens: 1 };
        usage.reserve({ stages, ...answer, unreadStages: stages });
        for (let priority = 0; priority < 16; priority += 1) {
          board.arrived("chat", priority, 100_000 * second);
          board.waitingChanged("chat", priority, 100_000 * second);
          board.heldChanged("chat", priority, 100_000 * second);
        }
      }
      await vi.advanceTimersByTimeAsync(1_000);
    }
    const perSecond = (network.sentBytes.get("a/0") ?? 0) / 60;
    expect(perSecond).toBeLessThan(3_000);
    expect(perSecond).toBeGreaterThan(2_000);
  });

  // Instances that start together would otherwise hear all their peers at once
  // and then none until those reports have expired.
  it("hears peers in any 5 s after instances start together", async () => {
    const hosts = Array.from({ length: 48 }, (_, at) => `a/${at}`);
    const { instances } = start(hosts);
    const heard = hosts.map(() => 0);
    for (const [at, { board, usage }] of instances.entries()) {
      board.heldChanged("chat", 0, 500);
      const stages = ENGINE_IDS.slice(0, 40).map((engineId, from) => ({
        engineId,
        address: "x",
        range: { from, to: from + 1 },
      }));
      const load = { tokens: 500, unreadTokens: 0, unreadStages: [] };
      usage.reserve({ stages, ...load });
      board.onChanged((kind) => {
        if (kind === "reported") heard[at] = (heard[at] ?? 0) + 1;
      });
    }
    await vi.advanceTimersByTimeAsync(4_000);
    heard.fill(0);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(Math.min(...heard)).toBeGreaterThanOrEqual(3);
  });
});

describe("reports of demand that are lost", () => {
  it("for 3 s leave the demand of another domain unknown", async () => {
    const hosts = ["a/1", "a/2", "b/1"];
    const { network, instances } = start(hosts, { isFullMesh: false });
    instances[2]?.board.heldChanged("chat", 0, 900);
    await vi.advanceTimersByTimeAsync(3_000);
    const { board } = instances[0] ?? {};
    expect(board?.ofDomain("chat", "b")?.get(0)?.held).toBe(900);
    network.cut.add("b/1");
    await vi.advanceTimersByTimeAsync(3_100);
    expect(board?.ofDomain("chat", "b")).toBeNull();
    expect(board?.ofDomain("chat", "a")).not.toBeNull();
    network.cut.clear();
    await vi.advanceTimersByTimeAsync(3_000);
    expect(board?.ofDomain("chat", "b")?.get(0)?.held).toBe(900);
  });

  it("for 5 s leave an instance what it observes itself", async () => {
    const { network, instances } = start(["a/1", "a/2", "a/3"]);
    for (const { board } of instances) board.heldChanged("chat", 0, 500);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(instances[0]?.classOf(0)?.held).toBe(1_500);
    network.cut.add("a/1");
    await vi.advanceTimersByTimeAsync(3_900);
    expect(instances[0]?.classOf(0)?.held).toBe(1_500);
    await vi.advanceTimersByTimeAsync(1_200);
    expect(instances[0]?.classOf(0)?.held).toBe(500);
  });
});

describe("a peer of the previous version", () => {
  it("is assumed to have the mean demand of its domain", async () => {
    const hosts = ["a/1", "a/2", "a/3"];
    const { network, instances } = start(hosts, { simulated: ["a/2"] });
    instances[0]?.board.heldChanged("chat", 0, 500);
    instances[1]?.board.heldChanged("chat", 0, 300);
    await vi.advanceTimersByTimeAsync(1_500);
    const load = { held: 70, unread: 0 };
    const loads = new Map([["engine-1", load]]);
    network.deliver("a/1", datagramOf({ loads }));
    expect(instances[0]?.usage.peerLoadOf("engine-1")).toEqual(load);
    expect(instances[0]?.classOf(0)?.held).toBe(1_200);
  });

  it("leaves the demand of its domain unknown by its sums", () => {
    const { network, instances } = start(["a/1"]);
    const load = { held: 70, unread: 0 };
    const loads = new Map([["engine-1", load]]);
    network.deliver("a/1", datagramOf({ domain: "b", loads }));
    expect(instances[0]?.usage.domainLoadOf("engine-1")).toEqual(load);
    expect(instances[0]?.board.ofDomain("chat", "b")).toBeNull();
  });

  it("can read reports with demand", () => {
    // It ignores fields that it does not know.
    const { params } = JSON.parse(
      datagramOf({ demand: holding(5) }).toString(),
    ) as { readonly params: Readonly<Record<string, unknown>> };
    expect(Object.keys(params).sort()).toEqual([
      "demand",
      "from",
      "sequence",
      "startedAt",
      "use",
    ]);
  });
});

describe("bad datagrams", () => {
  const record = [1, 2, 3, 4, 0, 1, 1, 1];

  it.each([
    ["cut off", datagramOf({ demand: holding(9) }).subarray(0, -20)],
    ["with demand that is cut off", datagramWith({ demand: base64(1, 2) })],
    ["with demand of another form", datagramWith({ demand: [500] })],
    [
      "with an unknown class",
      datagramWith({ demand: base64(1, 2, 3, 4, 16, 1, 1, 1) }),
    ],
    [
      "with a huge figure",
      datagramWith({
        demand: base64(...record.slice(0, 7), 255, 255, 255, 255, 255, 127),
      }),
    ],
    [
      "with too many records",
      datagramWith({ demand: base64(...Array(33).fill(record).flat()) }),
    ],
    ["with a negative sequence", datagramWith({ sequence: -1 })],
    ["with a huge sequence", datagramWith({ sequence: 2 ** 50 })],
    ["with a huge time of start", datagramWith({ startedAt: 1e300 })],
    [
      "with a time of start that isn't a number",
      datagramWith({ startedAt: "" }),
    ],
    [
      "from an earlier start",
      datagramOf({ startedAt: 4, sequence: 99, demand: holding(9) }),
    ],
  ])("%s change nothing and are logged every 5 s at most", (_, datagram) => {
    const { network, instances } = start(["a/1"]);
    const [instance] = instances;
    const load = { held: 70, unread: 0 };
    const loads = new Map([["engine-1", load]]);
    network.deliver("a/1", datagramOf({ loads, demand: holding(300) }));
    const expectUnchanged = () => {
      expect(instance?.usage.peerLoadOf("engine-1")).toEqual(load);
      expect(instance?.classOf(0)?.held).toBe(300);
    };
    for (let count = 0; count < 50; count += 1) {
      network.deliver("a/1", datagram);
      vi.advanceTimersByTime(90);
      expectUnchanged();
    }
    expect(logged).toHaveLength(1);
    vi.advanceTimersByTime(500);
    network.deliver("a/1", datagram);
    expect(logged).toHaveLength(2);
    expect(logged[0]?.event).toMatch(/^peer_datagram_(unreadable|outdated)$/);
    // Later reports of the sender are still accepted.
    network.deliver("a/1", datagramOf({ sequence: 2, demand: holding(400) }));
    expect(instance?.classOf(0)?.held).toBe(400);
  });
});
