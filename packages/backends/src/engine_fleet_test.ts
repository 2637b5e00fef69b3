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
  const known = fleet;
  return () => known.engines()[0]?.usable;
}

describe("an engine that leaves", () => {
  it("gets nothing new within a second of saying so, then returns", async () => {
    // The engine's own state decides, read twice a second; the platform's
    // list is not asked, so it may be late or wrong in any way.
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

  it("gets nothing new within seconds of falling silent", async () => {
    let answer: EngineState | null = state;
    const isUsable = await createFleet(() => answer);
    answer = null;
    await vi.advanceTimersByTimeAsync(2_500);
    expect(isUsable()).toBe(false);
  });
});
