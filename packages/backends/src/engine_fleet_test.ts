import type { EngineSettings, EngineState } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { EngineClient } from "./engine_client.ts";
import { createEngineFleet, type EngineFleet } from "./engine_fleet.ts";

const engine: EngineSettings = {
  id: "engine-1",
  failureDomain: "a",
  address: { host: "127.0.0.1", port: 1 },
  accelerator: "fast",
  checksFencing: true,
  roles: [{ model: "assist", layers: { from: 0, to: 4 } }],
};

const state: EngineState = {
  engine: "engine-1",
  accelerator: "fast",
  failureDomain: "a",
  roles: engine.roles,
  fencingNumber: 1,
  noteNumber: 1,
  held: [],
  adapters: [],
  running: [],
  leaving: false,
  load: 0,
};

let fleet: EngineFleet | null = null;
beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
  fleet?.stop();
  vi.useRealTimers();
});

async function createFleet(read: () => EngineState | null) {
  const client = { readState: async () => read() } as unknown as EngineClient;
  fleet = createEngineFleet({ engines: [engine], client });
  await vi.advanceTimersByTimeAsync(0);
  const created = fleet;
  return () => created.engines()[0]?.usable;
}

describe("engine fleet, use of an engine", () => {
  it("stops within a second of its leaving and resumes afterwards", async () => {
    // Only the engine's own state counts, which is read twice a second. The
    // platform's list is not used, so it may be late or wrong.
    let leaving = false;
    const isUsable = await createFleet(() => ({ ...state, leaving }));
    expect(isUsable()).toBe(true);
    leaving = true;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(isUsable()).toBe(false);
    leaving = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(isUsable()).toBe(true);
  });

  it("stops within seconds when it no longer responds", async () => {
    let answer: EngineState | null = state;
    const isUsable = await createFleet(() => answer);
    answer = null;
    await vi.advanceTimersByTimeAsync(2_500);
    expect(isUsable()).toBe(false);
  });
});

/** Fleet of one of many instances: it uses 100 engines and watches few. */
async function createSharedFleet(watchedIds = ["engine-1"]) {
  const ids = Array.from({ length: 100 }, (_, index) => `engine-${index + 1}`);
  const engines = ids.map((id, index) => ({
    ...engine,
    id,
    address: { host: "127.0.0.1", port: 1 + index },
  }));
  const states = new Map<string, EngineState | null>(
    ids.map((id) => [id, { ...state, engine: id }]),
  );
  const reads: string[] = [];
  const client = {
    async readState({ port }: { port: number }) {
      const id = ids[port - 1] ?? "";
      reads.push(id);
      return states.get(id) ?? null;
    },
  } as unknown as EngineClient;
  const subset = {
    used: new Set(ids),
    watched: new Set(watchedIds),
    isWhole: false,
  };
  const changed: string[] = [];
  const shared = createEngineFleet({
    engines,
    client,
    subset: () => subset,
    onChanged: (id) => void changed.push(id),
  });
  fleet = shared;
  await vi.advanceTimersByTimeAsync(0);
  const isUsable = (id: string) =>
    shared
      .engines()
      .some((engine) => engine.settings.id === id && engine.usable);
  return { fleet: shared, states, reads, changed, isUsable };
}

describe("engine fleet shared by many instances", () => {
  it("reads only watched engines within a minute", async () => {
    const { reads, isUsable } = await createSharedFleet();
    const first = reads.length;
    await vi.advanceTimersByTimeAsync(60_000);
    expect(new Set(reads.slice(first))).toEqual(new Set(["engine-1"]));
    expect(isUsable("engine-1")).toBe(true);
    expect(isUsable("engine-2")).toBe(true);
  });

  it("notifies when a watched engine leaves, is lost and recovers", async () => {
    // Instances that do not watch the engine must get a notice within seconds,
    // or they would send it new work until a call is refused.
    const { states, changed } = await createSharedFleet();
    states.set("engine-1", { ...state, leaving: true });
    await vi.advanceTimersByTimeAsync(2_000);
    expect(changed).toEqual(["engine-1"]);
    states.set("engine-1", null);
    await vi.advanceTimersByTimeAsync(4_000);
    states.set("engine-1", state);
    await vi.advanceTimersByTimeAsync(8_000);
    expect(changed).toEqual(["engine-1", "engine-1", "engine-1"]);
  });

  it("notifies within seconds when few instances watch many engines", async () => {
    // Four instances share 72 engines and watch 24 each. By the budget alone,
    // each engine would be read every 24 s, and the others would learn that one
    // is leaving after up to 9.6 s.
    const many = Array.from(
      { length: 24 },
      (_, index) => `engine-${index + 1}`,
    );
    const { states, changed } = await createSharedFleet(many);
    await vi.advanceTimersByTimeAsync(6_000);
    states.set("engine-24", { ...state, engine: "engine-24", leaving: true });
    await vi.advanceTimersByTimeAsync(4_500);
    expect(changed).toEqual(["engine-24"]);
  });

  it("does not notify when only the load of an engine changes", async () => {
    const { states, changed } = await createSharedFleet();
    states.set("engine-1", { ...state, load: 7 });
    await vi.advanceTimersByTimeAsync(4_000);
    expect(changed).toEqual([]);
  });

  it("stops using an engine soon after another instance's notice", async () => {
    // Another instance watches the engine, which is leaving. The notice causes
    // a read. A notice without a change, as from a watcher that is cut off from
    // the engine, has no effect.
    const { fleet: shared, states, isUsable } = await createSharedFleet();
    shared.recheck(["engine-2", "engine-of-a-newer-settings-file"]);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(isUsable("engine-2")).toBe(true);
    states.set("engine-2", { ...state, engine: "engine-2", leaving: true });
    shared.recheck(["engine-2"]);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(isUsable("engine-2")).toBe(false);
  });

  it("detects a lost engine by failed calls, and its recovery by reads", async () => {
    // No notice reports that the engine died. A failed call does, and from then
    // on it is read often enough to be used soon after its recovery.
    const { fleet: shared, states, isUsable } = await createSharedFleet();
    states.set("engine-2", null);
    shared.reportLost("engine-2");
    expect(isUsable("engine-2")).toBe(false);
    await vi.advanceTimersByTimeAsync(30_000);
    expect(isUsable("engine-2")).toBe(false);
    states.set("engine-2", { ...state, engine: "engine-2" });
    await vi.advanceTimersByTimeAsync(9_000);
    expect(isUsable("engine-2")).toBe(true);
  });
});
