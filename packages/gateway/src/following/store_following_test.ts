import { setMaxListeners } from "node:events";
import { createInstanceDomain, withoutFields } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startStoreFollowing } from "./store_following.ts";

const PRESENCE = "rosemarypin-instances/";
/** Bound from the write of a change until every instance has it. */
const CHANGE_BOUND_MS = 2_000;
const RELAYS = ["i-10", "i-11"];

let domain: ReturnType<typeof createDomain>;
let abilities: Map<string, number>;
/** Latest version of the server entry that each instance has. */
let seenVersions: Map<string, number>;
let writer: ReturnType<typeof domain.memory.client>["store"];
let version: number;

beforeEach(async () => {
  vi.useFakeTimers();
  abilities = new Map();
  seenVersions = new Map();
  domain = createDomain();
  writer = domain.memory.client().store;
  version = 0;
  await change();
});
afterEach(() => {
  domain.end();
  vi.useRealTimers();
});

function createDomain() {
  return createInstanceDomain(({ name, address, store, link, signal }) => {
    setMaxListeners(0, signal);
    const ability = abilities.get(name);
    return startStoreFollowing({
      store,
      instance: name,
      failureDomain: "a",
      ...(ability === undefined ? {} : { ability }),
      peers: address,
      peerMethods: {},
      peerRequests: { header: "handed-off", handle: () => {} },
      prefixes: [
        {
          prefix: "servers/",
          onObject: (object) => seenVersions.set(name, object.version),
        },
      ],
      peerTransport: link,
      signal,
    });
  });
}

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** Names i-10, i-11 and so on: the first two are the relays. */
function namesOf(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `i-${index + 10}`);
}

async function startInstances(count: number): Promise<void> {
  await Promise.all(namesOf(count).map(domain.start));
}

async function change(): Promise<void> {
  const expectedVersion = version === 0 ? null : version;
  const result = await writer.write("servers/e", {}, { expectedVersion });
  if (result.kind === "ok") version = result.value;
}

function allHaveLatest(): boolean {
  return domain.names().every((name) => seenVersions.get(name) === version);
}

/** Milliseconds until every running instance has a new change. */
async function msUntilKnown(): Promise<number> {
  await change();
  for (let elapsedMs = 0; elapsedMs <= 5_000; elapsedMs += 10) {
    if (allHaveLatest()) return elapsedMs;
    await advance(10);
  }
  return Number.POSITIVE_INFINITY;
}

function fullReads(): number {
  return domain.memory.counts().full_read ?? 0;
}

function liveSeenBy(name: string): string[] {
  const others = domain.get(name).presence.liveOthers();
  return others.map(({ instance }) => instance).sort();
}

/** Calls that each instance answers within the time, if any. */
async function answeredWithin(ms: number): Promise<Map<string, number>> {
  const before = new Map(domain.links.answered());
  await advance(ms);
  return new Map(
    [...domain.links.answered()]
      .map(([host, count]) => [host, count - (before.get(host) ?? 0)] as const)
      .filter(([, count]) => count > 0),
  );
}

/** Makes calls from and to an instance those of the version before. */
function downgrade(name: string): void {
  domain.links.filterCalls(name, {
    params: withoutFields("from", "presence"),
    result: (message) => {
      const old = withoutFields("presence")(message) as { changes?: object[] };
      if (old.changes)
        old.changes = old.changes.map(withoutFields("revision")) as [];
      return old;
    },
  });
}

describe("48 instances", () => {
  // Guards against a store that reads everything for each instance at once.
  it("that start at once in an empty store read all objects twice", async () => {
    await startInstances(48);
    await advance(1_000);
    expect(allHaveLatest()).toBe(true);
    expect(fullReads()).toBeLessThanOrEqual(2);
  });

  // The first ones see too few others for relays, and read for themselves.
  it("that start within half a second read all objects a few times", async () => {
    const names = namesOf(48);
    for (let index = 0; index < 48; index += 1) {
      void domain.start(names[(index * 19 + 7) % 48] ?? "");
      await advance(10);
    }
    await advance(1_000);
    expect(allHaveLatest()).toBe(true);
    expect(fullReads()).toBeLessThanOrEqual(16);
  });

  it.each([
    ["killed", false],
    ["stopped", true],
  ])(
    "that are %s and restart at once read all objects twice",
    async (_end, isStopped) => {
      await startInstances(48);
      await advance(20_000);
      if (isStopped) {
        const leaving = namesOf(48).map((name) =>
          domain.get(name).presence.leave(),
        );
        await advance(100);
        await Promise.all(leaving);
      }
      for (const name of namesOf(48)) domain.kill(name);
      seenVersions.clear();
      const before = fullReads();
      await startInstances(48);
      await advance(1_000);
      expect(allHaveLatest()).toBe(true);
      expect(fullReads() - before).toBeLessThanOrEqual(3);
    },
  );

  it("follow the two large instances, whatever their names", async () => {
    for (const name of namesOf(48)) abilities.set(name, 23);
    abilities.set("i-41", 68);
    abilities.set("i-50", 68);
    await startInstances(48);
    await advance(10_000);
    const answered = await answeredWithin(6_000);
    expect([...answered.keys()].sort()).toEqual(["i-41", "i-50"]);
  });
});

describe("instances that follow a relay", () => {
  const failures: [string, (relay: string) => void][] = [
    ["is frozen", (relay) => domain.links.setFrozen(relay, true)],
    ["is killed", (relay) => domain.kill(relay)],
    [
      "no longer receives their calls",
      (relay) => {
        for (const name of namesOf(12)) domain.links.cutOneWay(name, relay);
      },
    ],
    [
      "receives their calls and can't answer",
      (relay) => {
        for (const name of namesOf(12)) domain.links.cutOneWay(relay, name);
      },
    ],
  ];

  it.each(failures)(
    "know a change within 2 s when it %s, and follow the other one",
    async (_what, fail) => {
      await startInstances(12);
      await advance(20_000);
      fail("i-10");
      expect(await msUntilKnown()).toBeLessThan(CHANGE_BOUND_MS);
      await advance(1_000);
      const before = fullReads();
      const answered = await answeredWithin(6_000);
      expect(answered.get("i-11")).toBeGreaterThan(80);
      expect(await msUntilKnown()).toBeLessThan(100);
      // Only relays read all objects, every 15 to 20 s.
      expect(fullReads() - before).toBeLessThanOrEqual(4);
    },
  );

  it("know a change within 2 s when it loses the store", async () => {
    await startInstances(12);
    await advance(20_000);
    domain.faults("i-10").down = true;
    const known = await msUntilKnown();
    expect(known).toBeLessThan(CHANGE_BOUND_MS);
  });

  // Guards against a domain of readers until the presence of the relays has
  // expired after 20 s.
  it("follow the next two when both relays are killed at once", async () => {
    await startInstances(24);
    await advance(20_000);
    for (const relay of RELAYS) domain.kill(relay);
    expect(await msUntilKnown()).toBeLessThan(CHANGE_BOUND_MS);
    await advance(3_000);
    const answered = await answeredWithin(6_000);
    expect([...answered.keys()].sort()).toEqual(["i-12", "i-13"]);
    await advance(40_000);
    expect(await msUntilKnown()).toBeLessThan(100);
  });

  it("see a killed follower expire within 28 s, as by their own reads", async () => {
    await startInstances(40);
    await advance(60_000 + Math.random() * 16_000);
    domain.kill("i-30");
    await advance(4_000);
    expect(liveSeenBy("i-12")).toContain("i-30");
    await advance(24_000);
    for (const name of domain.names())
      expect(liveSeenBy(name)).toEqual(
        domain.names().filter((other) => other !== name),
      );
  });

  it("see a follower that the store refuses, as long as it calls", async () => {
    await startInstances(40);
    await advance(60_000);
    domain.faults("i-30").down = true;
    await advance(40_000);
    const followers = namesOf(40).filter((name) => !RELAYS.includes(name));
    const seeing = followers.filter((name) =>
      liveSeenBy(name).includes("i-30"),
    );
    expect(seeing.length).toBeGreaterThanOrEqual(18);
    // Placement and the choice of relays need instances that reach the store.
    for (const name of followers.filter((name) => name !== "i-30")) {
      const peers = domain.get(name).presence.liveDomainPeers();
      expect(peers.map(({ instance }) => instance)).not.toContain("i-30");
    }
  });

  it("keep what they know while the store is down, and go on after", async () => {
    await startInstances(40);
    await advance(60_000);
    for (const name of domain.names()) domain.faults(name).down = true;
    for (let second = 0; second < 70; second += 1) {
      if (second === 40)
        for (const name of domain.names()) domain.faults(name).down = false;
      await advance(1_000);
      for (const name of domain.names()) {
        expect(liveSeenBy(name).length).toBe(39);
      }
    }
    expect(await msUntilKnown()).toBeLessThan(100);
  });
});

describe("an instance that the store turns away", () => {
  const SERVERS = 100;
  const OUTAGE_MS = 20_000;
  /** Answers with all objects, and bytes of all answers. */
  let traffic: { copies: number; bytes: number };

  beforeEach(async () => {
    traffic = { copies: 0, bytes: 0 };
    for (let index = 0; index < SERVERS; index += 1)
      await writer.write(`servers/s-${index}`, "x".repeat(300), {
        expectedVersion: null,
      });
    await startInstances(3);
    await advance(1_000);
    domain.links.filterCalls("i-10", { params: keep, result: countAnswer });
    domain.faults("i-10").down = true;
    await advance(CHANGE_BOUND_MS);
  });

  const keep = (message: unknown) => message;

  function countAnswer(message: unknown): unknown {
    const hasObjects = message !== null && "objects" in (message as object);
    traffic.copies += hasObjects ? 1 : 0;
    traffic.bytes += JSON.stringify(message).length;
    return message;
  }

  /** Lets the time pass while objects of other prefixes are written. */
  async function passOutage(): Promise<void> {
    for (let passedMs = 0; passedMs < OUTAGE_MS; passedMs += 500) {
      const key = `others/o-${passedMs}`;
      await writer.write(key, {}, { expectedVersion: null });
      await advance(500);
    }
  }

  // Guards against copies of all objects that bring nothing new.
  it("gets no copies while its objects don't change", async () => {
    await passOutage();
    expect(traffic.copies).toBe(0);
    expect(traffic.bytes).toBeLessThan(OUTAGE_MS / 10);
  });

  it("gets one copy after a change, in time", async () => {
    expect(await msUntilKnown()).toBeLessThan(CHANGE_BOUND_MS);
    await passOutage();
    expect(traffic.copies).toBe(1);
  });

  it("knows a change in time from peers of the version before", async () => {
    const params = withoutFields("digest");
    domain.links.filterCalls("i-10", { params, result: countAnswer });
    expect(await msUntilKnown()).toBeLessThan(CHANGE_BOUND_MS);
    expect(traffic.copies).toBeGreaterThan(0);
  });
});

describe("instances of the version before", () => {
  it("serve as relays, and the followers list presence themselves", async () => {
    for (const relay of RELAYS) downgrade(relay);
    await startInstances(40);
    await advance(60_000);
    expect(await msUntilKnown()).toBeLessThan(100);
    const listsBefore = domain.memory.counts().list ?? 0;
    await advance(16_000);
    expect((domain.memory.counts().list ?? 0) - listsBefore).toBeGreaterThan(
      70,
    );
    for (const name of domain.names()) expect(liveSeenBy(name).length).toBe(39);
  });

  it("follow instances of this one", async () => {
    for (const name of namesOf(40).slice(20)) downgrade(name);
    await startInstances(40);
    await advance(30_000);
    expect(await msUntilKnown()).toBeLessThan(100);
    domain.links.setFrozen("i-10", true);
    expect(await msUntilKnown()).toBeLessThan(CHANGE_BOUND_MS);
  });

  // An older one chooses relays by name, and takes the answers of this one for
  // those of an instance that watches the store.
  it("get the copy of an instance that watches the store", async () => {
    await startInstances(12);
    await advance(10_000);
    const { caller } = domain.links.link("older");
    const positions = [{ prefix: "servers/", position: null }];
    const follow = () =>
      caller.call({ host: "i-15", port: 1 }, "objects.follow", {
        params: { holdMs: 0, positions },
      });
    await Promise.all([follow(), advance(1_500)]);
    const before = domain.memory.counts().watch ?? 0;
    for (let call = 0; call < 12; call += 1) {
      const [answer] = await Promise.all([follow(), advance(500)]);
      expect(answer).toMatchObject({ kind: "ok" });
    }
    // Two relays make four watches in 6 s; the third instance makes two.
    expect((domain.memory.counts().watch ?? 0) - before).toBeGreaterThan(4);
  });

  it("see renewals at most 20 s apart by reads every 8 s", async () => {
    await startInstances(40);
    await advance(20_000);
    const lastChanges = new Map<string, { version: number; at: number }>();
    for (let read = 0; read < 20; read += 1) {
      const now = performance.now();
      for (const { key, version } of domain.memory.objects()) {
        if (!key.startsWith(PRESENCE)) continue;
        const last = lastChanges.get(key);
        if (last?.version !== version)
          lastChanges.set(key, { version, at: now });
        else expect(now - last.at).toBeLessThan(20_000);
      }
      await advance(8_000);
    }
    expect(lastChanges.size).toBe(40);
  });
});

describe("malformed presence", () => {
  it.each([
    ["null", null],
    ["text for an address", { peer: "10.0.0.1:80" }],
    ["no failure domain", { failureDomain: undefined }],
  ])("of an instance with %s changes nothing", async (_what, fields) => {
    await startInstances(6);
    await advance(10_000);
    const before = liveSeenBy("i-13");
    const value = fields && { ...presenceOf("i-15"), ...fields };
    const options = { expectedVersion: null };
    await writer.write(`${PRESENCE}i-99`, value, options);
    await advance(10_000);
    expect(liveSeenBy("i-13")).toEqual(before);
    expect(await msUntilKnown()).toBeLessThan(100);
  });

  it.each([["text"], [-1], [1e9], [null]])(
    "ability %s leaves the rest of the object in force",
    async (ability) => {
      await startInstances(6);
      await advance(10_000);
      const value = { ...presenceOf("i-15"), ability, peer: null };
      await writer.write(`${PRESENCE}i-05`, value, { expectedVersion: null });
      await advance(4_000);
      const added = domain
        .get("i-13")
        .presence.liveOthers()
        .find(({ instance }) => instance === "i-05");
      expect(added).toMatchObject({ failureDomain: "a" });
      expect(added?.ability).toBe(undefined);
    },
  );

  it("list of a relay changes nothing, and the follower lists itself", async () => {
    await startInstances(6);
    await advance(10_000);
    domain.links.filterCalls("i-13", {
      params: (message) => message,
      result: (message) => ({
        ...(message as object),
        presence: { version: 1, ageMs: -5, objects: "none" },
      }),
    });
    await domain.start("i-16");
    await advance(10_000);
    expect(liveSeenBy("i-13")).toEqual(
      namesOf(7).filter((name) => name !== "i-13"),
    );
    expect(await msUntilKnown()).toBeLessThan(100);
  });
});

function presenceOf(name: string): object {
  const key = `${PRESENCE}${name}`;
  const found = domain.memory.objects().find((object) => object.key === key);
  return found?.value as object;
}
