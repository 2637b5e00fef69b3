import { createSeededRandom } from "@rosemarypin/checks";
import { createDatagramLinks, type DatagramLinks } from "@rosemarypin/fakes";
import type { MemberRecord } from "@rosemarypin/schemas";
import { createMetrics } from "@rosemarypin/telemetry";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createMembership, type Membership } from "./membership.ts";
import { HEADER_BYTES, LARGEST_DATAGRAM_BYTES } from "./wire.ts";

const SEED = 11;
const HOST = "127.0.0.1";
const FINE = 1_000_000;
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
  random = () => seeded.between(0, FINE - 1) / FINE;
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

/** Starts nodes in domains in turn and lets them learn of one another. */
async function startFleet(
  size: number,
  domains: readonly string[] = ["a", "b", "c"],
): Promise<Node[]> {
  const nodes: Node[] = [];
  for (let at = 0; at < size; at++) {
    const domain = domains[at % domains.length] ?? "a";
    nodes.push(await start({ domain, port: at + 1 }));
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

function first(nodes: readonly Node[], at = 0): Node {
  const node = nodes[at];
  if (!node) throw new Error(`no node ${at}`);
  return node;
}

describe("membership", () => {
  it("lets all learn of all from one seed", async () => {
    const nodes = await startFleet(12);
    expect(statesIn(nodes)).toEqual(["alive"]);
  });

  // One in ten datagrams is lost, some come twice and out of order, as on a
  // bad day of a switch. An operator must not see instances flap.
  it("suspects nobody for good over lossy links", async () => {
    const nodes = await startFleet(12);
    Object.assign(links.faults, { loss: 0.1, duplication: 0.1, delayMs: 40 });
    await vi.advanceTimersByTimeAsync(2 * MINUTE_MS);
    Object.assign(links.faults, { loss: 0 });
    await vi.advanceTimersByTimeAsync(10_000);
    expect(statesIn(nodes)).toEqual(["alive"]);
  });

  // A machine dies without a word. The others have to see it as silent, and
  // must not forget it: it may be cut off and still serve from an old note.
  it("holds a dead instance for silent and remembers it", async () => {
    const nodes = await startFleet(12);
    const victim = first(nodes, 5);
    links.silence({ host: HOST, port: victim.port });
    await vi.advanceTimersByTimeAsync(20_000);
    const living = nodes.filter((node) => node !== victim);
    expect(new Set(living.map((node) => stateOf(node, victim)))).toEqual(
      new Set(["suspect"]),
    );
    await vi.advanceTimersByTimeAsync(20 * MINUTE_MS);
    expect(new Set(living.map((node) => stateOf(node, victim)))).toEqual(
      new Set(["suspect"]),
    );
  });

  // The link between domains a and b is cut while c sees both. Those in a
  // and b hear of each other through c: nobody is held for dead, a new note
  // number crosses, and an operator sees which way each can be reached.
  it("reaches a domain that is cut off through a third one", async () => {
    const nodes = await startFleet(12);
    links.cut("a", "b");
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(statesIn(nodes)).toEqual(["alive"]);
    const viewer = first(nodes);
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

  // Two regions lose each other for minutes and hold each other for dead.
  // After the link is back nobody restarts anything: they must find each
  // other by themselves.
  it("joins two sides again after they held each other for dead", async () => {
    const nodes = await startFleet(8, ["a", "b"]);
    links.cut("a", "b");
    await vi.advanceTimersByTimeAsync(3 * MINUTE_MS);
    expect(statesIn(nodes)).toContain("suspect");
    links.heal();
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(statesIn(nodes)).toEqual(["alive"]);
  });

  // An instance leaves; an old datagram that says it lives arrives late. It
  // must stay gone, or work would be sent to it.
  it("takes a goodbye as final for its incarnation", async () => {
    const nodes = await startFleet(6);
    const leaver = first(nodes, 2);
    const old = leaver.membership.self();
    await leaver.membership.leave();
    await vi.advanceTimersByTimeAsync(5_000);
    const rest = nodes.filter((node) => node !== leaver);
    sendAsIf(old, first(nodes));
    await vi.advanceTimersByTimeAsync(5_000);
    expect(new Set(rest.map((node) => stateOf(node, leaver)))).toEqual(
      new Set(["left"]),
    );
  });

  // An instance is stopped in the moment of its start: a peer has its first
  // ping, and its answer is on the way. Without a goodbye the peer would take
  // the new one for silent, and a recall would wait for it.
  it("says goodbye to those that know it before it knows them", async () => {
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

  // An instance dies and starts again at its address at once. Its peers must
  // not mistake it for the old process: the old one's note is not its own.
  it("tells a restart at the same address from the old process", async () => {
    const nodes = await startFleet(6);
    const old = first(nodes, 3);
    const { incarnation } = old.membership.self();
    links.silence({ host: HOST, port: old.port });
    await vi.advanceTimersByTimeAsync(500);
    links.heal();
    const again = await start({
      domain: old.domain,
      port: old.port,
      incarnation: incarnation + 1,
    });
    again.membership.share({ note: 4 });
    await vi.advanceTimersByTimeAsync(20_000);
    const others = nodes.filter((node) => node !== old);
    for (const node of others) {
      expect(stateOf(node, again)).toBe("alive");
      expect(noteSeenBy(node, again)).toBe(4);
    }
  });

  // A frozen process is replaced by one of the same name elsewhere, and then
  // thaws. It must not push its successor aside: it may hold an old note.
  it("lets a thawed process give way to its successor", async () => {
    const nodes = await startFleet(6);
    const thawed = first(nodes, 3);
    const place = { host: HOST, port: thawed.port };
    links.silence(place);
    await vi.advanceTimersByTimeAsync(5_000);
    const { id, domain } = thawed;
    const successor = await start({ id, domain, port: 40 });
    await vi.advanceTimersByTimeAsync(10_000);
    links.heal();
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    const others = nodes.filter((node) => node !== thawed);
    const { incarnation } = successor.membership.self();
    for (const node of others) {
      const found = node.membership
        .peers()
        .find(({ record }) => record.id === id);
      expect(found?.record.incarnation).toBe(incarnation);
    }
  });

  // A new process under another name listens at a dead one's address. Its
  // answers must not keep the dead one alive in the eyes of the others.
  it("does not take a stranger's answer for the dead one's", async () => {
    const nodes = await startFleet(6);
    const dead = first(nodes, 3);
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

  // An instance is frozen for ten seconds and wakes: its own timers are all
  // due, while the answers it missed are unread. It must suspect nobody.
  it("suspects nobody after it stood still itself", async () => {
    const nodes = await startFleet(6);
    const frozen = first(nodes);
    links.faults.loss = 1;
    // A probe goes out at the next step, 500 ms on, and gets no answer.
    await vi.advanceTimersByTimeAsync(510);
    const now = performance.now.bind(performance);
    const skipped = vi
      .spyOn(performance, "now")
      .mockImplementation(() => now() + 10_000);
    // The links are whole again for later probes, too late for that one.
    await vi.advanceTimersByTimeAsync(835);
    links.faults.loss = 0;
    await vi.advanceTimersByTimeAsync(65);
    expect(
      frozen.membership.peers().filter(({ state }) => state !== "alive"),
    ).toEqual([]);
    skipped.mockRestore();
  });

  // A dead instance is forgotten in the end, so that memory stays bounded.
  // One that still remembers must not bring it back to one that has not.
  it("forgets the dead without bringing them back", async () => {
    const forgetSilentAfterMs = 30 * MINUTE_MS;
    const nodes: Node[] = [];
    for (let at = 0; at < 4; at++) {
      const place = { domain: "a", port: at + 1 };
      nodes.push(await start(place, { forgetSilentAfterMs }));
    }
    await vi.advanceTimersByTimeAsync(10_000);
    const victim = first(nodes, 3);
    links.silence({ host: HOST, port: victim.port });
    await vi.advanceTimersByTimeAsync(10 * MINUTE_MS);
    const joiner = await start({ domain: "a", port: 9 });
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(joiner.membership.peers()).toHaveLength(3);
    expect(stateOf(joiner, victim)).toBeUndefined();
    await vi.advanceTimersByTimeAsync(25 * MINUTE_MS);
    const living = nodes.filter((node) => node !== victim);
    expect(living.map((node) => stateOf(node, victim))).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
  });

  // Anything can arrive at an open port. It is counted and changes nothing.
  it.each([
    { what: "noise", datagram: "\u0000\u0001not json" },
    { what: "another protocol", datagram: '{"jsonrpc":"2.0","id":1}' },
    {
      what: "a record out of shape",
      datagram:
        '{"jsonrpc":"2.0","method":"news","params":{"from":[],"hash":0,"news":[]}}',
    },
    {
      what: "too many bytes",
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
    const stranger = links.transport({ address, domain: "a" });
    stranger.send(Buffer.from(datagram), { host: HOST, port: 1 });
    await vi.advanceTimersByTimeAsync(10);
    const dropped = await metrics.peerDatagramsDropped.get();
    expect(dropped.values).toMatchObject([
      { value: 1, labels: { reason: "malformed" } },
    ]);
  });

  // The instance list of the platform names an instance that no setting
  // names; a wrong entry beside it must do no harm.
  it("finds an instance by a hint alone", async () => {
    const alone = await start({ domain: "a", port: 1, seedPorts: [] });
    const hints = async () => [
      { host: HOST, port: 77 },
      { host: HOST, port: 1 },
    ];
    await start({ domain: "b", port: 2, seedPorts: [] }, { hints });
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    expect(stateOf(alone, { id: "b-2" })).toBe("alive");
  });

  // A broken peer asks for the whole table over and over. The answers are
  // larger than what it sends; without a bound it could drown the links.
  it("bounds what it answers to one that asks again and again", async () => {
    const nodes = await startFleet(24);
    const asked = first(nodes);
    const address = { host: HOST, port: 800 };
    const asker = links.transport({ address, domain: "a" });
    const digests = Buffer.alloc(256).toString("base64");
    const from = ["asker", "a", HOST, 800, 1, 0, 0, 0, 0, 0];
    const message = {
      jsonrpc: "2.0",
      method: "sync",
      params: { from, hash: 0, news: [], digests },
    };
    const datagram = Buffer.from(JSON.stringify(message));
    await vi.advanceTimersByTimeAsync(MINUTE_MS);
    const asks = 500;
    const everyMs = 200;
    const before = bytesOf(address.port);
    for (let at = 0; at < asks; at++) {
      asker.send(datagram, { host: HOST, port: asked.port });
      await vi.advanceTimersByTimeAsync(everyMs);
    }
    const sent = asks * (datagram.length + HEADER_BYTES);
    const seconds = (asks * everyMs) / 1_000;
    const answered = (bytesOf(address.port) - before - sent) / seconds;
    expect(answered).toBeLessThan(3_000);
  });

  // A note change makes every record of the fleet change at once. The rate
  // and the size of datagrams have to stay bounded all the same.
  it("keeps datagrams and rates bounded over a note change", async () => {
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
      ({ port }, at) => (bytesOf(port) - (before[at] ?? 0)) / 60,
    );
    expect(Math.max(...rates)).toBeLessThan(3_000);
    expect(largest).toBeGreaterThan(0);
    expect(largest).toBeLessThanOrEqual(LARGEST_DATAGRAM_BYTES);
    for (const node of nodes) {
      expect(noteSeenBy(node, first(nodes, node === nodes[0] ? 1 : 0))).toBe(3);
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

/** Sends a datagram with an old record as its sender. */
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
