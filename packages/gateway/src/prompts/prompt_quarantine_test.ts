import { createInstanceDomain } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startStoreFollowing } from "../following/mod.ts";
import {
  createPromptQuarantine,
  type PromptQuarantine,
} from "./prompt_quarantine.ts";
import {
  QUARANTINE_METHOD,
  type QuarantineObject,
} from "./quarantine_messages.ts";
import { createQuarantinePeers } from "./quarantine_peers.ts";

const SERVICE = "model";
const INSTANCES = ["i-1", "i-2", "i-3", "i-4", "i-5"];
const BAD = { service: SERVICE, parts: ["common", "bad"] };
const SOUND = { service: SERVICE, parts: ["common", "sound"] };
const MINUTE_MS = 60_000;

let domain: ReturnType<typeof createDomain>;
let engines: number;

beforeEach(async () => {
  vi.useFakeTimers();
  engines = 0;
  domain = createDomain();
});
afterEach(() => {
  domain.end();
  vi.useRealTimers();
});

function createDomain() {
  return createInstanceDomain<PromptQuarantine>(
    async ({ name, address, store, link, signal }) => {
      const quarantine = createPromptQuarantine({
        store,
        peers: createQuarantinePeers({
          instance: name,
          liveOthers: () => presence.liveOthers(),
          caller: link.caller,
          signal,
        }),
        signal,
      });
      const { presence } = await startStoreFollowing({
        store,
        instance: name,
        failureDomain: "a",
        peers: address,
        peerMethods: quarantine.methods,
        peerRequests: { header: "handed-off", handle: () => {} },
        prefixes: [
          { prefix: "configurations/", onObject: () => {} },
          quarantine.prefix,
        ],
        peerTransport: link,
        signal,
      });
      return quarantine;
    },
  );
}

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

async function startAll(): Promise<void> {
  await Promise.all(INSTANCES.map(domain.start));
  await advance(10_000);
}

/** Engines end one after the other, each at one of the instances. */
async function endEngines(...instances: readonly string[]): Promise<void> {
  for (const name of instances) {
    engines += 1;
    domain.get(name).recordEnd({
      service: SERVICE,
      engine: `e-${engines}`,
      at: performance.now(),
      prompts: [[...BAD.parts]],
    });
    await advance(400);
  }
}

function refusing(prompt = BAD): string[] {
  return domain
    .names()
    .filter((name) => domain.get(name).decide(prompt).kind === "refused")
    .sort();
}

describe("a part under which engines have ended", () => {
  it("is refused by all instances, whichever of them have lost engines", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    expect(refusing()).toEqual(INSTANCES);
    expect(refusing(SOUND)).toEqual([]);
  });

  it("is refused by all within a second of the third end", async () => {
    await startAll();
    await endEngines("i-4", "i-4");
    expect(refusing()).toEqual([]);
    await endEngines("i-5");
    await advance(600);
    expect(refusing()).toEqual(INSTANCES);
  });

  // Guards against instances that have to lose engines of their own first.
  it("is refused by an instance that starts later", async () => {
    await startAll();
    domain.kill("i-5");
    await endEngines("i-1", "i-2", "i-3");
    // Calls to it that are repeated have ended, and none stores the part again.
    await advance(2_000);
    await domain.start("i-5");
    await advance(1_000);
    expect(refusing()).toEqual(INSTANCES);
  });

  it("is refused after all instances have restarted", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    for (const name of INSTANCES) domain.kill(name);
    await Promise.all(INSTANCES.map(domain.start));
    await advance(1_000);
    expect(refusing()).toEqual(INSTANCES);
  });

  it("is refused by an instance that no other one can call", async () => {
    await startAll();
    for (const name of INSTANCES) domain.links.cutOneWay(name, "i-5");
    await endEngines("i-1", "i-2", "i-3");
    await advance(1_000);
    expect(refusing()).toEqual(INSTANCES);
  });

  it("is refused by an instance that was frozen meanwhile", async () => {
    await startAll();
    domain.links.setFrozen("i-5", true);
    await endEngines("i-1", "i-2", "i-3");
    await advance(3_000);
    domain.links.setFrozen("i-5", false);
    await advance(1_000);
    expect(refusing()).toEqual(INSTANCES);
  });

  it("is refused on its own evidence by an instance that is cut off", async () => {
    await startAll();
    domain.faults("i-5").down = true;
    for (const name of INSTANCES) {
      domain.links.cutOneWay(name, "i-5");
      domain.links.cutOneWay("i-5", name);
    }
    await endEngines("i-5", "i-5", "i-5");
    expect(refusing()).toEqual(["i-5"]);
  });

  it("is refused and stored later while the store is down", async () => {
    await startAll();
    for (const name of INSTANCES) domain.faults(name).down = true;
    await endEngines("i-1", "i-2", "i-3");
    expect(refusing()).toEqual(INSTANCES);
    for (const name of INSTANCES) domain.faults(name).down = false;
    await advance(11_000);
    for (const name of INSTANCES) domain.kill(name);
    await domain.start("i-1");
    await advance(1_000);
    expect(refusing()).toEqual(["i-1"]);
  });

  it("is refused by the others while one of the deciding instances is lost", async () => {
    await startAll();
    domain.kill("i-1");
    domain.kill("i-2");
    await endEngines("i-3", "i-4", "i-5");
    await advance(3_000);
    expect(refusing()).toEqual(["i-3", "i-4", "i-5"]);
  });
});

describe("a part that is sound", () => {
  // Guards against a false blame that only the instance which answered the part
  // can know of.
  it("is released once an instance has answered it since", async () => {
    await startAll();
    await endEngines("i-1", "i-2");
    const begunAt = performance.now();
    domain.get("i-5").recordAnswer({ ...BAD, begunAt });
    await endEngines("i-3");
    await advance(2_000);
    expect(refusing()).toEqual([]);
  });

  it("is released once an answer that had begun goes on", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    domain.get("i-5").recordAnswer({ ...BAD, begunAt: performance.now() });
    await advance(100);
    expect(refusing()).toEqual([]);
  });

  it("isn't released by an answer that had begun before the ends", async () => {
    await startAll();
    const begunAt = performance.now();
    await advance(100);
    await endEngines("i-1", "i-2", "i-3");
    domain.get("i-5").recordAnswer({ ...BAD, begunAt });
    await advance(100);
    expect(refusing()).toEqual(INSTANCES);
  });
});

describe("a trial", () => {
  function dueInstances(): string[] {
    return domain
      .names()
      .filter((name) => domain.get(name).decide(BAD).kind === "trial_due");
  }

  async function takeTrials(): Promise<string[]> {
    const taken = Promise.all(
      INSTANCES.map(async (name) =>
        (await domain.get(name).takeTrial(BAD)) ? [name] : [],
      ),
    );
    await advance(100);
    return (await taken).flat();
  }

  it("is one request of one instance after two minutes", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    await advance(2 * MINUTE_MS);
    expect(dueInstances().sort()).toEqual(INSTANCES);
    expect(await takeTrials()).toHaveLength(1);
    await advance(1_000);
    expect(refusing()).toEqual(INSTANCES);
  });

  it("that is answered ends the quarantine", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    await advance(2 * MINUTE_MS);
    const [name = ""] = await takeTrials();
    domain.get(name).recordAnswer({ ...BAD, begunAt: performance.now() });
    await advance(1_000);
    expect(refusing()).toEqual([]);
    const stored = domain.memory.objects().map(({ key }) => key);
    expect(stored.filter((key) => key.includes("quarantine"))).toEqual([]);
  });

  // Guards against trials that end engines for as long as requests come.
  it("comes twice, and then an operator has to release the part", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    const taken: string[] = [];
    for (let minute = 0; minute < 60; minute += 1) {
      await advance(MINUTE_MS);
      if (dueInstances().length > 0) taken.push(...(await takeTrials()));
    }
    expect(taken).toHaveLength(2);
    expect(domain.get("i-1").decide(BAD)).toEqual({
      kind: "refused",
      retryAfterSeconds: null,
    });
    expect(domain.get("i-1").release({ service: SERVICE, part: "bad" })).toBe(
      true,
    );
    await advance(1_000);
    expect(refusing()).toEqual([]);
  });

  it("isn't possible while the store is down", async () => {
    await startAll();
    await endEngines("i-1", "i-2", "i-3");
    for (const name of INSTANCES) domain.faults(name).down = true;
    await advance(2 * MINUTE_MS);
    expect(await takeTrials()).toEqual([]);
  });
});

it("a part is released once its object is removed from the store", async () => {
  await startAll();
  await endEngines("i-1", "i-2", "i-3");
  await advance(1_000);
  const [object] = domain.memory
    .objects()
    .filter(({ key }) => key.startsWith("rosemarypin-quarantine/"));
  const { store } = domain.memory.client();
  const expectedVersion = object?.version ?? 0;
  await store.remove(object?.key ?? "", { expectedVersion });
  await advance(5_000);
  expect(refusing()).toEqual([]);
});

describe("reports of other instances", () => {
  const quarantine: QuarantineObject = {
    service: SERVICE,
    part: "bad",
    engines: ["e-1", "e-2", "e-3"],
    since: 0,
    trials: 0,
    nextTrialAt: null,
  };

  function receive(method: string, message: unknown): unknown {
    return domain.get("i-1").methods[method]?.(message);
  }

  // Guards against requests that are refused because of a faulty instance.
  it.each([
    ["without enough engines", { ...quarantine, engines: ["e-1", "e-2"] }],
    ["with too many engines", { ...quarantine, engines: Array(17).fill("e") }],
    ["with a part that is too long", { ...quarantine, part: "x".repeat(129) }],
    ["without a part", { ...quarantine, part: "" }],
    ["with a time that isn't one", { ...quarantine, since: -1 }],
  ])("are ignored %s", async (_what, wrong) => {
    await startAll();
    const message = { quarantine: wrong, firstEndAgoMs: 0 };
    expect(() => receive(QUARANTINE_METHOD, message)).toThrow();
    expect(domain.get("i-1").parts()).toEqual([]);
  });

  it("are ignored with more prompts than one end can have", async () => {
    await startAll();
    const prompts = Array(65).fill(["bad"]);
    const message = { service: SERVICE, engine: "e-1", agoMs: 0, prompts };
    expect(() => receive("prompts.engine_ended", message)).toThrow();
  });

  // Guards against memory that grows with what one instance reports.
  it("fill a bounded table", async () => {
    await startAll();
    for (let part = 0; part < 300; part += 1) {
      const message = {
        quarantine: { ...quarantine, part: `part-${part}` },
        firstEndAgoMs: 0,
      };
      receive(QUARANTINE_METHOD, message);
    }
    expect(domain.get("i-1").parts()).toHaveLength(256);
  });

  it("in the store are ignored if they are malformed", async () => {
    await startAll();
    const { store } = domain.memory.client();
    for (const value of ["text", null, { part: "bad" }, quarantine])
      await store.write(`rosemarypin-quarantine/${Math.random()}`, value, {
        expectedVersion: null,
      });
    await advance(1_000);
    expect(domain.get("i-1").parts()).toEqual([]);
  });
});
