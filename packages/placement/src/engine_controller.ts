/** Brings the engines of one failure domain to their wanted state. */
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
import { createWakeSignal } from "./wake_signal.ts";
import { type WantedState, wantedState } from "./wanted_layers.ts";

/** Interval for reading back an engine in its wanted state. */
const READ_BACK_INTERVAL_MS = 500;
/** With more engines, unchanged ones are read back at growing intervals. */
const MAX_ENGINES_WITHOUT_BACKOFF = 16;
/** Bandwidth for reading back all engines of a domain while none changes. */
const READ_BACK_BUDGET_BYTES_PER_SECOND = 250;
/** Doubled before each retry, the first included, up to the read interval. */
const RETRY_BASE_MS = 25;

const log = createLogger("placement");

export interface EngineControllerOptions {
  readonly engines: readonly EngineSettings[];
  readonly client: EngineClient;
  readonly fleet: EngineFleet;
  readonly keeper: NoteKeeper;
  readonly lease: ControlLease;
  /** Decides the layers of engines without roles. */
  readonly placer?: Placer;
}

export interface EngineController {
  /**
   * The note that each engine has confirmed, 0 for none; empty while this
   * instance may not order.
   */
  confirmations(): readonly EngineConfirmation[];
  /** Reconciles all engines without delay. */
  wake(): void;
  /** Reconciles these engines without delay, as they may have changed. */
  recheck(engines: readonly string[]): void;
  /** Stops ordering; resolves once no order is in flight. */
  stop(): Promise<void>;
}

/** Result of one pass over an engine; `idle` if it may not be ordered. */
type ReconcileOutcome = "idle" | "reconciled" | "retry";

/** Starts one task per engine, which orders it while the lease is held. */
export function createEngineController(
  options: EngineControllerOptions,
): EngineController {
  const { client, fleet, keeper, lease, placer } = options;
  const confirmed = new Map<string, EngineConfirmation>();
  const wakeSignals = new Map(
    options.engines.map(({ id }) => [id, createWakeSignal()]),
  );
  const unsubscribeNotes = keeper.onChange(wake);
  const unsubscribePlacer = placer?.onChange(recheck);
  const maxReadBackMs = maxReadBackIntervalMs(options.engines.length);
  let stopped = false;
  const tasks = options.engines.map(reconcileLoop);

  function wake(): void {
    for (const wakeSignal of wakeSignals.values()) wakeSignal.wake();
  }

  function recheck(engines: readonly string[]): void {
    for (const id of engines) wakeSignals.get(id)?.wake();
  }

  async function reconcileLoop(engine: EngineSettings): Promise<void> {
    const wakeSignal = wakeSignals.get(engine.id) ?? createWakeSignal();
    let retryMs = RETRY_BASE_MS;
    let readBackMs = READ_BACK_INTERVAL_MS;
    while (!stopped) {
      const wakesBefore = wakeSignal.count();
      const previous = confirmed.get(engine.id);
      const outcome = await reconcile(engine);
      if (stopped) return;
      retryMs = outcome === "retry" ? retryMs * 2 : RETRY_BASE_MS;
      // The interval doubles while the engine stays in its wanted state. A
      // delayed order of an earlier holder may still reach an engine that
      // ignores fencing numbers, most likely soon after a change, so each
      // confirmed order resets the interval.
      const isUnchanged =
        outcome === "reconciled" && confirmed.get(engine.id) === previous;
      readBackMs = isUnchanged
        ? Math.min(readBackMs * 2, maxReadBackMs)
        : READ_BACK_INTERVAL_MS;
      const waitMs =
        outcome === "retry"
          ? Math.min(retryMs, READ_BACK_INTERVAL_MS)
          : readBackMs;
      await wakeSignal.wait(waitMs, wakesBefore);
    }
  }

  async function reconcile(engine: EngineSettings): Promise<ReconcileOutcome> {
    const record = keeper.applied();
    if (!record || !leaseForOrders()) return "idle";
    const lastConfirmation = confirmed.get(engine.id);
    // A new note is ordered without a read, which would add a round trip to
    // every recall. An engine that confirmed this note is read back.
    if (
      lastConfirmation?.confirmed === record.number &&
      !lastConfirmation.stopped
    ) {
      const state = await readState(engine);
      const wanted = wantedOf(engine, record);
      if (!wanted) return "retry";
      if (state && holdsExactly(state, wanted)) {
        fleet.observe(state);
        return "reconciled";
      }
      if (state && !isStillConfirmed(engine, { state, record })) {
        confirmed.delete(engine.id);
      }
    }
    // The wanted state of an engine without roles depends on what it holds,
    // and an engine that did not answer may have restarted.
    if (placer?.needsRead(engine.id)) await readState(engine);
    const wanted = wantedOf(engine, record);
    return wanted ? order(engine, { wanted, record }) : "retry";
  }

  function wantedOf(
    engine: EngineSettings,
    record: NoteRecord,
  ): WantedState | null {
    if (placer?.isPlaced(engine.id))
      return placer.wantedState(engine.id, record);
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
   * Whether a confirmation stays valid for an engine that is not in its wanted
   * state. An engine without roles gets more layers under the same note as
   * their weights are loaded; it runs only what the note allows meanwhile.
   */
  function isStillConfirmed(
    engine: EngineSettings,
    observation: { readonly state: EngineState; readonly record: NoteRecord },
  ): boolean {
    const { state, record } = observation;
    return (
      placer?.isPlaced(engine.id) === true && conformsToNote(state, record)
    );
  }

  /**
   * The lease if orders may be sent, else `null`. A new holder may lack recent
   * notes, and an order under an old note would restore what a newer one
   * withdrew. So the head object must have been read, by this instance or a
   * peer, since the lease was acquired.
   */
  function leaseForOrders(): HeldLease | null {
    const held = lease.held();
    const contactAgeMs = keeper.contactAgeMs();
    if (!held || contactAgeMs === null) return null;
    return contactAgeMs <= surelyElapsedMs(held.since) ? held : null;
  }

  async function order(
    engine: EngineSettings,
    target: { readonly wanted: WantedState; readonly record: NoteRecord },
  ): Promise<ReconcileOutcome> {
    const { wanted, record } = target;
    const held = leaseForOrders();
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
      placer?.observe(engine.id, result.state, { isOrderReply: true });
      return handleOrderedState(result.state, { engine, wanted });
    }
    if (result.kind !== "fenced") placer?.observe(engine.id, null);
    if (result.kind === "not_sent" && result.refused) {
      setConfirmation(engine, { number: record.number, stopped: true });
      return "reconciled";
    }
    const { kind, detail } = result;
    log.warn("order_failed", { engine: engine.id, kind, reason: detail });
    return "retry";
  }

  function handleOrderedState(
    state: EngineState,
    context: { readonly engine: EngineSettings; readonly wanted: WantedState },
  ): ReconcileOutcome {
    const { engine, wanted } = context;
    fleet.observe(state);
    if (!holdsExactly(state, wanted)) return "retry";
    setConfirmation(engine, { number: wanted.noteNumber, stopped: false });
    return "reconciled";
  }

  function setConfirmation(
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
      if (!leaseForOrders()) return [];
      return options.engines.map(
        ({ id }) =>
          confirmed.get(id) ?? { engine: id, confirmed: 0, stopped: false },
      );
    },
    wake,
    recheck,
    async stop() {
      stopped = true;
      unsubscribeNotes();
      unsubscribePlacer?.();
      wake();
      await Promise.all(tasks);
    },
  };
}

/** Maximum interval for reading an engine back, by the size of its domain. */
function maxReadBackIntervalMs(engineCount: number): number {
  if (engineCount <= MAX_ENGINES_WITHOUT_BACKOFF) return READ_BACK_INTERVAL_MS;
  const bytesPerSecond = READ_BACK_BUDGET_BYTES_PER_SECOND;
  return readIntervalMs(engineCount, { bytesPerSecond });
}
