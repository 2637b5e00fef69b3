import type { EngineClient, OrderResult } from "@rosemarypin/backends";
import type { NoteKeeper } from "@rosemarypin/release";
import {
  type EngineOrder,
  type EngineSettings,
  type EngineState,
  emptyCatalogue,
  type NoteRecord,
} from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { HeldLease } from "./control_lease.ts";
import { createEngineController } from "./engine_controller.ts";
import { orderFencingNumber } from "./fencing_number.ts";

const settings: EngineSettings = {
  id: "engine-1",
  failureDomain: "a",
  address: { host: "127.0.0.1", port: 1 },
  accelerator: "fast",
  checksFencing: false,
  roles: [{ model: "assist", layers: { from: 0, to: 4 } }],
};

/** A note that serves the versions in `names`. */
function record(number: number, names: readonly string[]): NoteRecord {
  const versions = Object.fromEntries(
    names.map((version) => {
      const layerSets = [{ name: version, from: 0, to: 4 }];
      return [version, { version, layers: 4, layerSets, addedBy: 1 }];
    }),
  );
  const assist = { versions, serve: [...names], adapters: [] };
  return {
    number,
    note: {
      supersedes: number - 1,
      publishId: `publish-${number}`,
      reason: "a test",
      added: [],
      changed: [],
      withdrawn: [],
    },
    catalogue: { ...emptyCatalogue, models: { assist } },
    recordedAt: 0,
    recordedBy: "one",
  };
}

/** An in-process engine that refuses old fencing numbers if it `checks`. */
function createEngine(options: { readonly checks: boolean }) {
  let order: EngineOrder = {
    fencingNumber: 0,
    noteNumber: 0,
    hold: [],
    adapters: [],
  };
  const state = (): EngineState => ({
    engine: settings.id,
    accelerator: "fast",
    failureDomain: "a",
    roles: settings.roles,
    fencingNumber: order.fencingNumber,
    noteNumber: order.noteNumber,
    held: order.hold,
    adapters: order.adapters,
    running: [],
    leaving: false,
    load: 0,
  });
  function acceptOrder(next: EngineOrder): OrderResult {
    if (options.checks && next.fencingNumber < order.fencingNumber) {
      return { kind: "fenced", detail: "old number" };
    }
    order = next;
    return { kind: "ok", state: state() };
  }
  const client: EngineClient = {
    start: () => Promise.reject(new Error("not used")),
    cancel: () => Promise.resolve(),
    order: async (_address, next) => acceptOrder(next),
    readState: async () => state(),
  };
  const versions = () => state().held.map(({ version }) => version);
  const reads = vi.spyOn(client, "readState");
  return {
    client,
    acceptOrder,
    versions,
    reads: () => reads.mock.calls.length,
  };
}

/** Controls one engine, or `engines` ids that all reach the same engine. */
function startController(
  engine: ReturnType<typeof createEngine>,
  options: { readonly engines?: number } = {},
) {
  const engines = Array.from({ length: options.engines ?? 1 }, (_, index) => ({
    ...settings,
    id: `engine-${index + 1}`,
  }));
  const listeners = new Set<(record: NoteRecord) => void>();
  let applied = record(1, ["v1"]);
  let held: HeldLease | null = null;
  let contactAgeMs = 0;
  const keeper: Pick<NoteKeeper, "applied" | "onChange" | "contactAgeMs"> = {
    applied: () => applied,
    contactAgeMs: () => contactAgeMs,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  const controller = createEngineController({
    engines,
    client: engine.client,
    fleet: {
      engines: () => [],
      observe() {},
      reportLost() {},
      occupy: () => () => {},
      stop() {},
    },
    keeper: keeper as NoteKeeper,
    lease: { held: () => held, release: () => Promise.resolve() },
  });
  return {
    controller,
    setContactAge: (ageMs: number) => (contactAgeMs = ageMs),
    hold(fencingNumber: number) {
      const since = { monotonic: performance.now(), wall: Date.now() };
      held = { fencingNumber, since };
    },
    apply(next: NoteRecord) {
      applied = next;
      for (const listener of listeners) listener(next);
    },
  };
}

const oldOrder: EngineOrder = {
  fencingNumber: orderFencingNumber({ leaseNumber: 1, noteNumber: 1 }),
  noteNumber: 1,
  hold: [{ model: "assist", version: "v1", layers: { from: 0, to: 4 } }],
  adapters: [],
};

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("engine orders", () => {
  it("undo a late order of an old holder if the engine ignores fencing", async () => {
    // An old holder is paused with an order in flight. v1 is recalled and the
    // new holder clears the engine. The old order then arrives and restores v1,
    // which only reading the engine back detects.
    const engine = createEngine({ checks: false });
    const { hold, apply, controller } = startController(engine);
    hold(2);
    apply(record(2, []));
    await vi.advanceTimersByTimeAsync(50);
    expect(controller.confirmations()).toMatchObject([{ confirmed: 2 }]);
    engine.acceptOrder(oldOrder);
    await vi.advanceTimersByTimeAsync(600);
    expect(engine.versions()).toEqual([]);
    expect(controller.confirmations()).toMatchObject([{ confirmed: 2 }]);
  });

  it("are refused when late, even from the same lease holder", async () => {
    // The holder's order for note 1 is delayed in the network and arrives after
    // the one for note 2. If fencing numbers counted leases only, both would be
    // equal and the engine would accept the order for v1.
    const engine = createEngine({ checks: true });
    const { hold, apply } = startController(engine);
    hold(1);
    apply(record(2, []));
    await vi.advanceTimersByTimeAsync(50);
    expect(engine.acceptOrder(oldOrder).kind).toBe("fenced");
    expect(engine.versions()).toEqual([]);
  });

  it("wait until a new lease holder has read the head object", async () => {
    // The old holder cleared v1 under note 2 and died. The next holder was
    // partitioned and still has note 1: its order, with a higher fencing
    // number, would restore v1.
    const engine = createEngine({ checks: true });
    const { hold, apply, setContactAge, controller } = startController(engine);
    setContactAge(5_000);
    hold(2);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(engine.versions()).toEqual([]);
    expect(controller.confirmations()).toEqual([]);
    setContactAge(0);
    apply(record(2, ["v2"]));
    await vi.advanceTimersByTimeAsync(50);
    expect(engine.versions()).toEqual(["v2"]);
  });

  it("treat an engine that refuses connections as stopped", async () => {
    // An engine dies during a recall and its address refuses connections. If
    // its confirmation were awaited, the note would not be in force until the
    // engine is restarted.
    const engine = createEngine({ checks: true });
    const started = startController(engine);
    started.hold(1);
    await vi.advanceTimersByTimeAsync(1_000);
    vi.spyOn(engine.client, "readState").mockResolvedValue(null);
    vi.spyOn(engine.client, "order").mockResolvedValue({
      kind: "not_sent",
      refused: true,
      detail: "connection refused",
    });
    started.apply(record(2, []));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(started.controller.confirmations()).toEqual([
      { engine: "engine-1", confirmed: 2, stopped: true },
    ]);
  });

  it("are no longer sent once the controller has stopped", async () => {
    const engine = createEngine({ checks: true });
    const { hold, apply, controller } = startController(engine);
    hold(1);
    await vi.advanceTimersByTimeAsync(600);
    await controller.stop();
    apply(record(2, []));
    await vi.advanceTimersByTimeAsync(2_000);
    expect(engine.versions()).toEqual(["v1"]);
  });
});

describe("reading back the engines of a large domain", () => {
  async function startUntilQuiet() {
    const engine = createEngine({ checks: false });
    const started = startController(engine, { engines: 81 });
    started.hold(1);
    await vi.advanceTimersByTimeAsync(310_000);
    return { engine, ...started };
  }

  it("slows down while nothing changes", async () => {
    const { engine, controller } = await startUntilQuiet();
    const before = engine.reads();
    await vi.advanceTimersByTimeAsync(60_000);
    expect(engine.reads() - before).toBeLessThan(60 * 2);
    await controller.stop();
  });

  it("does not delay a recall", async () => {
    // A version is recalled after minutes without a change. Waiting for the
    // next read would leave it on the engines for a minute.
    const { engine, apply, controller } = await startUntilQuiet();
    apply(record(2, []));
    await vi.advanceTimersByTimeAsync(100);
    expect(engine.versions()).toEqual([]);
    const confirmed = controller.confirmations();
    expect(
      new Set(confirmed.map((confirmation) => confirmation.confirmed)),
    ).toEqual(new Set([2]));
    await controller.stop();
  });

  it("happens at once when an engine is reported as changed", async () => {
    // An engine restarts with empty memory. Its accelerators are idle until it
    // is read back and ordered.
    const { engine, controller } = await startUntilQuiet();
    engine.acceptOrder({ ...oldOrder, noteNumber: 0, hold: [] });
    await vi.advanceTimersByTimeAsync(1_000);
    expect(engine.versions()).toEqual([]);
    controller.recheck(["engine-7"]);
    await vi.advanceTimersByTimeAsync(100);
    expect(engine.versions()).toEqual(["v1"]);
    await controller.stop();
  });
});
