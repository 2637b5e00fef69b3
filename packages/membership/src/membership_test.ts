import { createSeededRandom } from "@rosemarypin/checks";
import { createDatagramLinks, type DatagramLinks } from "@rosemarypin/fakes";
import type { MemberRecord } from "@rosemarypin/schemas";
import { createMetrics } from "@rosemarypin/telemetry";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createMembership, type Membership } from "./membership.ts";
import { HEADER_BYTES, LARGEST_DATAGRAM_BYTES } from "./wire.ts";

const SEED = 11;
const HOST = "127.0.0.1";
const RANDOM_STEPS = 1_000_000;
const MINUTE_MS = 60_000;

interface Node {
  readonly id: string;
  readonly domain: string;
  readonly port: number;
  readonly membership: Membership;
}

let links: DatagramLinks;
let random: () => number;
let running: Membership[];

beforeEach(() => {
  vi.useFakeTimers();
  const seeded = createSeededRandom(SEED);
  random = () => seeded.between(0, RANDOM_STEPS - 1) / RANDOM_STEPS;
  links = createDatagramLinks({ random, headerBytes: HEADER_BYTES });
  running = [];
});

afterEach(async () => {
  await Promise.all(running.map((membership) => membership.leave()));
  vi.useRealTimers();
});

async function start(
  options: {
    readonly domain: string;
    readonly port: number;
    readonly id?: string;
    readonly incarnation?: number;
    readonly seedPorts?: readonly number[];
  },
  extra: Partial<Parameters<typeof createMembership>[0]> = {},
): Promise<Node> {
  const { domain, port, seedPorts = [1] } = options;
  const id = options.id ?? `${domain}-${port}`;
  const peer = { host: HOST, port };
  const membership = await createMembership({
    id,
    failureDomain: domain,
    peer,
    incarnation: options.incarnation ?? Date.now(),
    seeds: seedPorts.map((seed) => ({
      id: `seed-${seed}`,
      failureDomain: domain,
      address: { host: HOST, port: seed },
    })),
    transport: extra.transport ?? links.transport({ address: peer, domain }),
    random,
    ...extra,
  });
  running.push(membership);
  return { id, domain, port, membership };
}

/** Starts nodes in alternating domains and waits until they have joined. */
async function startFleet(
  size: number,
  domains: readonly string[] = ["a", "b", "c"],
): Promise<Node[]> {
  const nodes: Node[] = [];
  for (let index = 0; index < size; index++) {
    const domain = domains[index % domains.length] ?? "a";
    nodes.push(await start({ domain, port: index + 1 }));
  }
  await vi.advanceTimersByTimeAsync(15_000);
  return nodes;
}

function stateOf(viewer: Node, { id }: { readonly id: string }) {
  const { membership } = viewer;
  return membership.peers().find(({ record }) => record.id === id)?.state;
}

function statesIn(nodes: readonly Node[]): string[] {
  const pairs = nodes.flatMap((viewer) =>
    nodes
      .filter((node) => node !== viewer)
      .map((node) => stateOf(viewer, node) ?? "unknown"),
  );
  return [...new Set(pairs)];
}

function nodeAt(nodes: readonly Node[], index = 0): Node {
  const node = nodes[index];
  if (!node) throw new Error(`no node ${index}`);
  return node;
}

describe("membership", () => {
  it("joins all instances through one seed", async () => {
    const nodes = await startFleet(12);
    expect(statesIn(nodes)).toEqual(["alive"]);
  });

  // One in ten datagrams is lost, others are duplicated or reordered, as with a
  // faulty switch. Instances must not stay suspected.
  it("clears all suspicions after packet loss has ended", async () => {
    const nodes = await startFleet(12);
    Object.assign(links.faults, { loss: 0.1, duplication: 0.1, delayMs: 40 });
    await vi.advanceTimersByTimeAsync(2 * MINUTE_MS);
    Object.assign(links.faults, { loss: 0 });
    await vi.advanceTimersByTimeAsync(10_000);
    expect(statesIn(nodes)).toEqual(["alive"]);
  });

  // An instance stops without a goodbye. The others must suspect it and keep
  // its record, as it may be partitioned and still serve under an old note.
  it("keeps an instance that does not answer as suspect", async () => {
    const nodes = await startFleet(12);
    const victim = nodeAt(nodes, 5);
    links.silence({ host: HOST, port: victim.port });
    await vi.advanceTimersByTimeAsync(20_000);
    const remaining = nodes.filter((node) => node !== victim);
    expect(new Set(remaining.map((node) => stateOf(node, victim)))).toEqual(
      new Set(["suspect"]),
    );
    await vi.advanceTimersByTimeAsync(20 * MINUTE_MS);
    expect(new Set(remaining.map((node) => stateOf(node, victim)))).toEqual(
      new Set(["suspect"]),
    );
  });

  // Domains a and b are partitioned while c reaches both. Members in a and b
  // probe each other through c: none is declared dead, a new note number
  // reaches the other side, and operators see the route of each member.
  it("reaches a partitioned domain through a third one", async () => {
    const nodes = await startFleet(12);
    links.cut("a", "b");
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(statesIn(nodes)).toEqual(["alive"]);
    const viewer = nodeAt(nodes);
    const reaches = viewer.membership
      .peers()
      .filter(({ record }) => record.failureDomain === "b")
      .map(({ reach }) => reach);
    expect(new Set(reaches)).toEqual(new Set(["through_others"]));
    viewer.membership.share({ note: 9 });
    await vi.advanceTimersByTimeAsync(5_000);
    for (const node of nodes.filter(({ domain }) => domain === "b")) {
      expect(noteSeenBy(node, viewer)).toBe(9);
    }
  });

  // Two regions are partitioned for minutes and declare each other dead. When
  // the link has healed, they must rejoin without a restart.
  it("rejoins two sides that have declared each other dead", async () => {
    const nodes = await startFleet(8, ["a", "b"]);
    links.cut("a", "b");
    await vi.advanceTimersByTimeAsync(3 * MINUTE_MS);
    expect(statesIn(nodes)).toContain("suspect");
    links.heal();
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(statesIn(nodes)).toEqual(["alive"]);
  });

  // An instance leaves, and an older datagram of it arrives late. If it were
  // listed as alive, it would be sent requests.
  it("treats a goodbye as final for its incarnation", async () => {
    const nodes = await startFleet(6);
    const leaver = nodeAt(nodes, 2);
    const old = leaver.membership.self();
    await leaver.membership.leave();
    await vi.advanceTimersByTimeAsync(5_000);
    const rest = nodes.filter((node) => node !== leaver);
    sendAsIf(old, nodeAt(nodes));
    await vi.advanceTimersByTimeAsync(5_000);
    expect(new Set(rest.map((node) => stateOf(node, leaver)))).toEqual(
      new Set(["left"]),
    );
  });

  // An instance is stopped right after its start: a peer has its first ping,
  // and the answer is in flight. Without a goodbye the peer would suspect the
  // instance, and a recall would wait for it.
  it("sends its goodbye to pinged addresses without an answer", async () => {
    const [stays] = await startFleet(1, ["a"]);
    if (!stays) throw new Error("one node was started");
    links.faults.delayMs = 100;
    const leaves = await start({ domain: "a", port: 2 });
    while (stays.membership.peers().length === 0) {
      await vi.advanceTimersByTimeAsync(1);
    }
    expect(leaves.membership.peers()).toHaveLength(0);
    await leaves.membership.leave();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(stateOf(stays, leaves)).toBe("left");
  });

  // An instance dies and restarts at its address at once. Its peers must not
  // attribute the note of the old process to the new one.
  it("distinguishes a process restarted at the same address", async () => {
    const nodes = await startFleet(6);
    const old = nodeAt(nodes, 3);
    const { incarnation } = old.membership.self();
    links.silence({ host: HOST, port: old.port });
    await vi.advanceTimersByTimeAsync(500);
    links.heal();
    const restarted = await start({
      domain: old.domain,
      port: old.port,
      incarnation: incarnation + 1,
    });
    restarted.membership.share({ note: 4 });
    await vi.advanceTimersByTimeAsync(20_000);
    const others = nodes.filter((node) => node !== old);
    for (const node of others) {
      expect(stateOf(node, restarted)).toBe("alive");
      expect(noteSeenBy(node, restarted)).toBe(4);
    }
  });

  // A paused process is replaced by one with the same id elsewhere, and then
  // resumes. It must not supersede its successor, as it may hold an old note.
  it("keeps the successor of a process that resumes", async () => {
    const nodes = await startFleet(6);
    const resumed = nodeAt(nodes, 3);
    const address = { host: HOST, port: resumed.port };
    links.silence(address);
    await vi.advanceTimersByTimeAsync(5_000);
    const { id, domain } = resumed;
    const successor = await start({ id, domain, port: 40 });
    await vi.advanceTimersByTimeAsync(10_000);
    links.heal();
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    const others = nodes.filter((node) => node !== resumed);
    const { incarnation } = successor.membership.self();
    for (const node of others) {
      const found = node.membership
        .peers()
        .find(({ record }) => record.id === id);
      expect(found?.record.incarnation).toBe(incarnation);
    }
  });

  // A new process with another id listens at the address of a dead one. Its
  // answers must not make peers consider the dead instance alive.
  it("ignores answers of a new instance at a dead one's address", async () => {
    const nodes = await startFleet(6);
    const dead = nodeAt(nodes, 3);
    links.silence({ host: HOST, port: dead.port });
    await vi.advanceTimersByTimeAsync(200);
    links.heal();
    await start({ id: "another", domain: dead.domain, port: dead.port });
    await vi.advanceTimersByTimeAsync(30_000);
    const others = nodes.filter((node) => node !== dead);
    expect(new Set(others.map((node) => stateOf(node, dead)))).toEqual(
      new Set(["suspect"]),
    );
  });

  // An instance resumes after a pause of 10 s: its timers are due before the
  // pending answers are read. It must not suspect other instances.
  it("suspects no instance after a pause of its own process", async () => {
    const nodes = await startFleet(6);
    const paused = nodeAt(nodes);
    links.faults.loss = 1;
    // A probe is sent at the next step, after 500 ms, and is lost.
    await vi.advanceTimersByTimeAsync(510);
    const now = performance.now.bind(performance);
    const clock = vi
      .spyOn(performance, "now")
      .mockImplementation(() => now() + 10_000);
    // The links recover for later probes, too late for that one.
    await vi.advanceTimersByTimeAsync(835);
    links.faults.loss = 0;
    await vi.advanceTimersByTimeAsync(65);
    expect(
      paused.membership.peers().filter(({ state }) => state !== "alive"),
    ).toEqual([]);
    clock.mockRestore();
  });

  // Dead members are dropped after a retention, so that memory stays bounded.
  // A peer that still has the record must not add it to a table without it.
  it("drops dead members without adding them again", async () => {
    const forgetSilentAfterMs = 30 * MINUTE_MS;
    const nodes: Node[] = [];
    for (let index = 0; index < 4; index++) {
      const options = { domain: "a", port: index + 1 };
      nodes.push(await start(options, { forgetSilentAfterMs }));
    }
    await vi.advanceTimersByTimeAsync(10_000);
    const victim = nodeAt(nodes, 3);
    links.silence({ host: HOST, port: victim.port });
    await vi.advanceTimersByTimeAsync(10 * MINUTE_MS);
    const joiner = await start({ domain: "a", port: 9 });
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(joiner.membership.peers()).toHaveLength(3);
    expect(stateOf(joiner, victim)).toBeUndefined();
    await vi.advanceTimersByTimeAsync(25 * MINUTE_MS);
    const remaining = nodes.filter((node) => node !== victim);
    expect(remaining.map((node) => stateOf(node, victim))).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
  });

  // Anything can arrive at an open port. It is counted and otherwise ignored.
  it.each([
    { what: "noise", datagram: "\u0000\u0001not json" },
    { what: "another protocol", datagram: '{"jsonrpc":"2.0","id":1}' },
    {
      what: "a malformed record",
      datagram:
        '{"jsonrpc":"2.0","method":"news","params":{"from":[],"hash":0,"news":[]}}',
    },
    {
      what: "an oversized datagram",
      datagram: JSON.stringify({
        jsonrpc: "2.0",
        method: "news",
        params: {
          from: ["x", "a", HOST, 99, 1, 0, 0, 0, 0, 0],
          hash: 0,
          news: [],
          padding: "x".repeat(9_000),
        },
      }),
    },
  ])("counts and drops $what", async ({ datagram }) => {
    const metrics = createMetrics();
    await start({ domain: "a", port: 1, seedPorts: [] }, { metrics });
    const address = { host: HOST, port: 99 };
    const sender = links.transport({ address, domain: "a" });
    sender.send(Buffer.from(datagram), { host: HOST, port: 1 });
    await vi.advanceTimersByTimeAsync(10);
    const dropped = await metrics.peerDatagramsDropped.get();
    expect(dropped.values).toMatchObject([
      { value: 1, labels: { reason: "malformed" } },
    ]);
  });

  // The platform's instance list has an instance that is not in the settings,
  // and a wrong entry, which must do no harm.
  it("joins an instance that only a hint lists", async () => {
    const alone = await start({ domain: "a", port: 1, seedPorts: [] });
    const hints = async () => [
      { host: HOST, port: 77 },
      { host: HOST, port: 1 },
    ];
    await start({ domain: "b", port: 2, seedPorts: [] }, { hints });
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(stateOf(alone, { id: "b-2" })).toBe("alive");
  });

  // A faulty peer requests the whole table repeatedly. The answers are larger
  // than its requests and could saturate the links without a limit.
  it("limits answers to repeated sync requests", async () => {
    const nodes = await startFleet(24);
    const target = nodeAt(nodes);
    const address = { host: HOST, port: 800 };
    const requester = links.transport({ address, domain: "a" });
    const digests = Buffer.alloc(256).toString("base64");
    const from = ["asker", "a", HOST, 800, 1, 0, 0, 0, 0, 0];
    const message = {
      jsonrpc: "2.0",
      method: "sync",
      params: { from, hash: 0, news: [], digests },
    };
    const datagram = Buffer.from(JSON.stringify(message));
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    const requestCount = 500;
    const intervalMs = 200;
    const before = bytesOf(address.port);
    for (let index = 0; index < requestCount; index++) {
      requester.send(datagram, { host: HOST, port: target.port });
      await vi.advanceTimersByTimeAsync(intervalMs);
    }
    const sent = requestCount * (datagram.length + HEADER_BYTES);
    const seconds = (requestCount * intervalMs) / 1_000;
    const answered = (bytesOf(address.port) - before - sent) / seconds;
    expect(answered).toBeLessThan(3_000);
  });

  // A note change changes all records of the fleet at once. The rate and the
  // size of datagrams must stay bounded.
  it("limits datagram size and traffic during a note change", async () => {
    const nodes = await startFleet(48, ["a", "b", "c", "d"]);
    let largest = 0;
    const address = { host: HOST, port: 500 };
    const watcher = links.transport({ address, domain: "a" });
    await start(
      { domain: "a", port: 500 },
      {
        transport: {
          ...watcher,
          onDatagram: (receiver) =>
            watcher.onDatagram((datagram) => {
              largest = Math.max(largest, datagram.length);
              receiver(datagram);
            }),
        },
      },
    );
    await vi.advanceTimersByTimeAsync(15_000);
    const before = nodes.map(({ port }) => bytesOf(port));
    for (const { membership } of nodes) membership.share({ note: 3 });
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    const rates = nodes.map(
      ({ port }, index) => (bytesOf(port) - (before[index] ?? 0)) / 60,
    );
    expect(Math.max(...rates)).toBeLessThan(3_000);
    expect(largest).toBeGreaterThan(0);
    expect(largest).toBeLessThanOrEqual(LARGEST_DATAGRAM_BYTES);
    for (const node of nodes) {
      expect(noteSeenBy(node, nodeAt(nodes, node === nodes[0] ? 1 : 0))).toBe(
        3,
      );
    }
  });
});

function noteSeenBy(viewer: Node, node: Node): number | undefined {
  const { membership } = viewer;
  const member = membership.peers().find(({ record }) => record.id === node.id);
  return member?.record.shared.note;
}

function bytesOf(port: number): number {
  return links.traffic({ host: HOST, port }).bytes;
}

/** Sends a datagram with `record` as its sender, at a later revision. */
function sendAsIf(record: MemberRecord, to: Node): void {
  const { id, failureDomain, peer, incarnation, revision } = record;
  const from = [id, failureDomain, peer.host, peer.port];
  const message = {
    jsonrpc: "2.0",
    method: "news",
    params: {
      from: [...from, incarnation, revision + 5, 0, 0, 0, 0],
      hash: 0,
      news: [],
    },
  };
  const address = { host: HOST, port: 900 };
  const transport = links.transport({ address, domain: to.domain });
  const datagram = Buffer.from(JSON.stringify(message));
  transport.send(datagram, { host: HOST, port: to.port });
}
