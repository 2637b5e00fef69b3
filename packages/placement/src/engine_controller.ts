/** Orders the engines of one failure domain until they hold what they must. */
import {
  type EngineClient,
  type EngineFleet,
  readIntervalMs,
} from "@rosemarypin/backends";
import { type NoteKeeper, surelyElapsedMs } from "@rosemarypin/release";
import type {
  EngineConfirmation,
  EngineSettings,
  EngineState,
  NoteRecord,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { ControlLease, HeldLease } from "./control_lease.ts";
import { orderFencingNumber } from "./fencing_number.ts";
import { conformsToNote, holdsExactly } from "./held_state.ts";
import type { Placer } from "./placer.ts";
import { createWakeUp } from "./wake_up.ts";
import { type WantedState, wantedState } from "./wanted_layers.ts";

/** How soon an engine that holds what it must is read back. */
const READ_BACK_MS = 500;
/** With more engines than this, the reads back slow down within a budget. */
const READ_BACK_ALL_UP_TO = 16;
const READ_BACK_BYTES_PER_SECOND = 250;
/** How soon an engine that does not is ordered again; doubled up to above. */
const FIRST_RETRY_MS = 25;

const log = createLogger("placement");

export interface EngineControllerOptions {
  readonly engines: readonly EngineSettings[];
  readonly client: EngineClient;
  readonly fleet: EngineFleet;
  readonly keeper: NoteKeeper;
  readonly lease: ControlLease;
  /** Says what engines without roles are to hold. */
  readonly placer?: Placer;
}

export interface EngineController {
  /** Engines ordered by this instance; empty while it holds no lease. */
  confirmations(): readonly EngineConfirmation[];
  /** Looks at all engines now. */
  wake(): void;
  /** Looks at these engines now, because they are said to have changed. */
  recheck(engines: readonly string[]): void;
  /** Starts no order any more; resolves once none is in flight. */
  stop(): Promise<void>;
}

/** How one look at an engine ended. */
type Look = "idle" | "holds" | "retry";

/** Starts one task for each engine, which acts while the lease is held. */
export function createEngineController(
  options: EngineControllerOptions,
): EngineController {
  const { client, fleet, keeper, lease, placer } = options;
  const confirmed = new Map<string, EngineConfirmation>();
  const wakeUps = new Map(
    options.engines.map(({ id }) => [id, createWakeUp()]),
  );
  const stopFollowing = keeper.onChange(wake);
  const stopPlacing = placer?.onChange(recheck);
  const longestReadBackMs = longestReadBack(options.engines.length);
  let stopped = false;
  const tasks = options.engines.map(follow);

  function wake(): void {
    for (const wakeUp of wakeUps.values()) wakeUp.wake();
  }

  function recheck(engines: readonly string[]): void {
    for (const id of engines) wakeUps.get(id)?.wake();
  }

  async function follow(engine: EngineSettings): Promise<void> {
    const wakeUp = wakeUps.get(engine.id) ?? createWakeUp();
    let retryMs = FIRST_RETRY_MS;
    let readBackMs = READ_BACK_MS;
    while (!stopped) {
      const seen = wakeUp.count();
      const before = confirmed.get(engine.id);
      const look = await bringToNote(engine);
      if (stopped) return;
      retryMs = look === "retry" ? retryMs * 2 : FIRST_RETRY_MS;
      // An engine that was as it should be is read back ever later. A late
      // order of an earlier holder may still land on one that ignores fencing
      // numbers, most likely soon, so each order starts the reads over.
      const isQuiet = look === "holds" && confirmed.get(engine.id) === before;
      readBackMs = isQuiet
        ? Math.min(readBackMs * 2, longestReadBackMs)
        : READ_BACK_MS;
      const waitMs =
        look === "retry" ? Math.min(retryMs, READ_BACK_MS) : readBackMs;
      await wakeUp.wait(waitMs, seen);
    }
  }

  async function bringToNote(engine: EngineSettings): Promise<Look> {
    const record = keeper.applied();
    if (!record || !mayOrder()) return "idle";
    const known = confirmed.get(engine.id);
    // A changed note is ordered at once; reading first would add a round trip
    // to every recall. What was confirmed before is read back instead.
    if (known?.confirmed === record.number && !known.stopped) {
      const state = await readState(engine);
      const wanted = wantedOf(engine, record);
      if (!wanted) return "retry";
      if (state && holdsExactly(state, wanted)) {
        fleet.observe(state);
        return "holds";
      }
      if (state && !mayGrow(engine, { state, record })) {
        confirmed.delete(engine.id);
      }
    }
    // What a placed engine is to hold depends on what it holds already, and
    // one that was silent may have been restarted.
    if (placer?.isUnread(engine.id)) await readState(engine);
    const wanted = wantedOf(engine, record);
    return wanted ? order(engine, { wanted, record }) : "retry";
  }

  function wantedOf(
    engine: EngineSettings,
    record: NoteRecord,
  ): WantedState | null {
    if (placer?.places(engine.id)) return placer.wanted(engine.id, record);
    return wantedState(engine, record);
  }

  async function readState(
    engine: EngineSettings,
  ): Promise<EngineState | null> {
    const state = await client.readState(engine.address);
    placer?.observe(engine.id, state);
    return state;
  }

  /**
   * A placed engine is asked for more as weights are served, under one note.
   * What it confirmed still holds meanwhile: it runs nothing but what the
   * note allows.
   */
  function mayGrow(
    engine: EngineSettings,
    seen: { readonly state: EngineState; readonly record: NoteRecord },
  ): boolean {
    const { state, record } = seen;
    return placer?.places(engine.id) === true && conformsToNote(state, record);
  }

  /**
   * A new holder may be behind on notes, and an order from an old note would
   * bring back what a newer one withdrew. So nothing is ordered before the
   * head object was read, here or by a peer, after the lease was acquired.
   */
  function mayOrder(): HeldLease | null {
    const held = lease.held();
    const contactAgeMs = keeper.contactAgeMs();
    if (!held || contactAgeMs === null) return null;
    return contactAgeMs <= surelyElapsedMs(held.since) ? held : null;
  }

  async function order(
    engine: EngineSettings,
    wish: { readonly wanted: WantedState; readonly record: NoteRecord },
  ): Promise<Look> {
    const { wanted, record } = wish;
    const held = mayOrder();
    if (!held || keeper.applied() !== record) return "retry";
    const fencingNumber = orderFencingNumber({
      leaseNumber: held.fencingNumber,
      noteNumber: record.number,
    });
    const result = await client.order(engine.address, {
      ...wanted,
      fencingNumber,
    });
    if (result.kind === "ok") {
      placer?.observe(engine.id, result.state, { isOrdered: true });
      return takeState(result.state, { engine, wanted });
    }
    if (result.kind !== "fenced") placer?.observe(engine.id, null);
    if (result.kind === "not_sent" && result.refused) {
      confirm(engine, { number: record.number, stopped: true });
      return "holds";
    }
    const { kind, detail } = result;
    log.warn("order_failed", { engine: engine.id, kind, reason: detail });
    return "retry";
  }

  function takeState(
    state: EngineState,
    context: { readonly engine: EngineSettings; readonly wanted: WantedState },
  ): Look {
    const { engine, wanted } = context;
    fleet.observe(state);
    if (!holdsExactly(state, wanted)) return "retry";
    confirm(engine, { number: wanted.noteNumber, stopped: false });
    return "holds";
  }

  function confirm(
    engine: EngineSettings,
    result: { readonly number: number; readonly stopped: boolean },
  ): void {
    const { number, stopped: isStopped } = result;
    confirmed.set(engine.id, {
      engine: engine.id,
      confirmed: number,
      stopped: isStopped,
    });
  }

  return {
    confirmations() {
      if (!mayOrder()) return [];
      return options.engines.map(
        ({ id }) =>
          confirmed.get(id) ?? { engine: id, confirmed: 0, stopped: false },
      );
    },
    wake,
    recheck,
    async stop() {
      stopped = true;
      stopFollowing();
      stopPlacing?.();
      wake();
      await Promise.all(tasks);
    },
  };
}

/** One engine's turn when all of `engines` are read within the budget. */
function longestReadBack(engines: number): number {
  if (engines <= READ_BACK_ALL_UP_TO) return READ_BACK_MS;
  const bytesPerSecond = READ_BACK_BYTES_PER_SECOND;
  return readIntervalMs(engines, { bytesPerSecond });
}
