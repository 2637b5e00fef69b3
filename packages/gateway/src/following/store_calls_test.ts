import { setMaxListeners } from "node:events";
import { createInstanceDomain } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startStoreFollowing } from "./store_following.ts";

const INSTANCES = Array.from({ length: 48 }, (_, index) => `i-${index + 10}`);
const SERVERS = 93;
/** Instances that are alone in their failure domains, and so without relays. */
const LONE_INSTANCES = ["i-1", "i-2", "i-3", "i-4"];

let domain: ReturnType<typeof createDomain>;

beforeEach(() => {
  vi.useFakeTimers();
  domain = createDomain();
});
afterEach(() => {
  domain.end();
  vi.useRealTimers();
});

function createDomain() {
  return createInstanceDomain(({ name, address, store, link, signal }) => {
    setMaxListeners(0, signal);
    return startStoreFollowing({
      store,
      instance: name,
      failureDomain: LONE_INSTANCES.includes(name) ? name : "a",
      peers: address,
      peerMethods: {},
      peerRequests: { header: "handed-off", handle: () => {} },
      prefixes: [
        { prefix: "configurations/", onObject: () => {} },
        { prefix: "servers/", onObject: () => {} },
      ],
      peerTransport: link,
      signal,
    });
  });
}

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);
const startAll = () => Promise.all(INSTANCES.map(domain.start));

/** Writes the entry of a backend server as its platform does. */
async function writeServer(index: number): Promise<void> {
  const { store } = writer;
  const key = `servers/${index}`;
  const found = domain.memory.objects().find((object) => object.key === key);
  const expectedVersion = found?.version ?? null;
  await store.write(key, { renewal: Math.random() }, { expectedVersion });
  platformWrites += 1;
}
let writer: ReturnType<typeof domain.memory.client>;
let platformWrites = 0;

function instanceCalls(): Record<string, number> {
  const { write = 0, ...others } = domain.memory.counts();
  return { ...others, write: write - platformWrites };
}

/** Calls by kind that the instances make meanwhile, and their sum. */
async function callsDuring(
  name: string,
  task: () => Promise<unknown>,
): Promise<Record<string, number>> {
  const before = instanceCalls();
  await task();
  const calls = Object.fromEntries(
    Object.entries(instanceCalls()).map(([kind, count]) => [
      kind,
      count - (before[kind] ?? 0),
    ]),
  );
  const total = Object.values(calls).reduce((sum, count) => sum + count, 0);
  if (process.env.PRINT_STORE_CALLS)
    console.info(name, total, JSON.stringify(calls));
  return { ...calls, total };
}

async function setUp(start = startAll): Promise<void> {
  writer = domain.memory.client();
  for (let index = 0; index < SERVERS; index += 1) await writeServer(index);
  const configuration = { expectedVersion: null };
  await writer.store.write("configurations/current", {}, configuration);
  await start();
  await advance(30_000);
}

describe("calls of 48 instances of a failure domain to the store", () => {
  it("while nothing changes", async () => {
    await setUp();
    const { total } = await callsDuring("quiet", () => advance(60_000));
    expect(total).toBeLessThan(620);
  });

  it("while all instances restart at once", async () => {
    await setUp();
    const { total } = await callsDuring("restart", async () => {
      for (const name of INSTANCES) domain.kill(name);
      await startAll();
      await advance(60_000);
    });
    expect(total).toBeLessThan(700);
  });

  it("while entries of servers change twice a second", async () => {
    await setUp();
    const { total } = await callsDuring("changes", async () => {
      for (let change = 0; change < 120; change += 1) {
        await writeServer(change % SERVERS);
        await advance(500);
      }
    });
    expect(total).toBeLessThan(800);
  });
});

describe("calls of four instances without relays to the store", () => {
  it("while nothing changes", async () => {
    await setUp(() => Promise.all(LONE_INSTANCES.map(domain.start)));
    const { total } = await callsDuring("alone", () => advance(60_000));
    expect(total).toBeLessThan(540);
  });
});
