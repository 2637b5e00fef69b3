/** Orders the engines of one failure domain until they hold what they must. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { NoteKeeper } from "@rosemarypin/release";
import type {
  EngineSettings,
  EngineState,
  NoteRecord,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { ControlLease } from "./control_lease.ts";
import { wantedState } from "./wanted_layers.ts";

const CHECK_EVERY_MS = 500;

const log = createLogger("placement");

export interface EngineControllerOptions {
  readonly engines: readonly EngineSettings[];
  readonly client: EngineClient;
  readonly fleet: EngineFleet;
  readonly keeper: NoteKeeper;
  readonly lease: ControlLease;
}

/** One engine with the note that it has confirmed. */
export interface EngineConfirmation {
  readonly engine: string;
  readonly confirmed: number;
}

export interface EngineController {
  /** Engines ordered by this instance; empty while it holds no lease. */
  confirmations(): readonly EngineConfirmation[];
  stop(): void;
}

/** Starts to order the engines whenever the lease is held. */
export function createEngineController(
  options: EngineControllerOptions,
): EngineController {
  const { client, fleet, keeper, lease } = options;
  const confirmed = new Map<string, number>();
  const busy = new Set<string>();
  const timer = setInterval(orderAll, CHECK_EVERY_MS);
  const stopFollowing = keeper.onChange(orderAll);

  function orderAll(): void {
    const record = keeper.current();
    if (!record || lease.fencingNumber() === null) return;
    for (const engine of options.engines) void orderOne(engine, record);
  }

  async function orderOne(
    engine: EngineSettings,
    record: NoteRecord,
  ): Promise<void> {
    if (busy.has(engine.id)) return;
    busy.add(engine.id);
    try {
      await bringToNote(engine, record);
    } finally {
      busy.delete(engine.id);
    }
    // A note that came meanwhile found the engine busy.
    const latest = keeper.current();
    if (latest && latest.number > record.number) orderAll();
  }

  async function bringToNote(
    engine: EngineSettings,
    record: NoteRecord,
  ): Promise<void> {
    const state = await client.readState(engine.address);
    if (!state) return;
    const wanted = wantedState(engine, record);
    if (holdsExactly(state, wanted)) {
      confirmed.set(engine.id, state.noteNumber);
      fleet.observe(state);
      return;
    }
    const fencingNumber = lease.fencingNumber();
    if (fencingNumber === null) return;
    const result = await client.order(engine.address, {
      ...wanted,
      fencingNumber,
    });
    if (result.kind !== "ok") {
      const reason = result.detail;
      log.warn("order_failed", {
        engine: engine.id,
        kind: result.kind,
        reason,
      });
      return;
    }
    fleet.observe(result.state);
    if (holdsExactly(result.state, wanted)) {
      confirmed.set(engine.id, result.state.noteNumber);
    }
  }

  return {
    confirmations() {
      if (lease.fencingNumber() === null) return [];
      return options.engines.map(({ id }) => ({
        engine: id,
        confirmed: confirmed.get(id) ?? 0,
      }));
    },
    stop() {
      clearInterval(timer);
      stopFollowing();
    },
  };
}

/** Whether the engine holds all it must, and nothing else runs on it. */
function holdsExactly(
  state: EngineState,
  wanted: ReturnType<typeof wantedState>,
): boolean {
  const name = (held: EngineState["held"][number]) =>
    `${held.model}/${held.version}/${held.layers.from}-${held.layers.to}`;
  const held = new Set(state.held.map(name));
  const sameLayers =
    held.size === wanted.hold.length &&
    wanted.hold.every((layers) => held.has(name(layers)));
  const adapters = new Set(
    state.adapters.map(({ model, adapter }) => `${model}/${adapter}`),
  );
  const sameAdapters =
    adapters.size === wanted.adapters.length &&
    wanted.adapters.every(({ model, adapter }) =>
      adapters.has(`${model}/${adapter}`),
    );
  const runsOther = state.running.some(
    ({ model, version }) =>
      !wanted.hold.some(
        (layers) => layers.model === model && layers.version === version,
      ),
  );
  const sameNote = state.noteNumber >= wanted.noteNumber;
  return sameLayers && sameAdapters && sameNote && !runsOther;
}
