/** Engines in memory that take orders and say what they hold. */
import type { EngineClient } from "@rosemarypin/backends";
import type {
  Address,
  EngineOrder,
  EngineSettings,
  EngineState,
} from "@rosemarypin/schemas";

/** One engine, and what was ordered. */
interface OrderedEngine {
  readonly settings: EngineSettings;
  order: EngineOrder;
  incarnation: number;
  isUp: boolean;
  load: number;
}

/** Engines that a test stops, restarts and looks into. */
export interface OrderedEngines extends EngineClient {
  /** What an engine holds, such as `assist/v1:0-4`. */
  held(engine: string): readonly string[];
  /** Orders that engines took, in order. */
  readonly orders: readonly (EngineOrder & { readonly engine: string })[];
  /** The engine answers nothing any more; it keeps its memory. */
  silence(engine: string): void;
  /** The engine answers again; after a restart, with nothing in memory. */
  bringBack(engine: string, options: { readonly isRestarted: boolean }): void;
  /** Sets the load that an engine reports. */
  report(engine: string, load: number): void;
}

const NOTHING: EngineOrder = {
  fencingNumber: 0,
  noteNumber: 0,
  hold: [],
  adapters: [],
};

/** Creates engines that hold nothing; each has a port of its own. */
export function createOrderedEngines(
  settings: readonly EngineSettings[],
): OrderedEngines {
  const orders: (EngineOrder & { engine: string })[] = [];
  const engines = settings.map(
    (one): OrderedEngine => ({
      settings: one,
      order: NOTHING,
      incarnation: 1,
      isUp: true,
      load: 0,
    }),
  );

  function at({ port }: Address): OrderedEngine | undefined {
    const found = engines.find(
      ({ settings: { address } }) => address.port === port,
    );
    return found?.isUp ? found : undefined;
  }

  function named(engine: string): OrderedEngine {
    const found = engines.find((one) => one.settings.id === engine);
    if (!found) throw new Error(`there is no engine '${engine}'`);
    return found;
  }

  return {
    orders,
    start: () => Promise.reject(new Error("not used")),
    async cancel() {},
    async order(address, order) {
      const engine = at(address);
      if (!engine) {
        return { kind: "not_sent", detail: "silent", refused: false };
      }
      const { checksFencing, id } = engine.settings;
      if (checksFencing && order.fencingNumber < engine.order.fencingNumber) {
        return { kind: "fenced", detail: "old number" };
      }
      engine.order = order;
      orders.push({ engine: id, ...order });
      return { kind: "ok", state: stateOf(engine) };
    },
    async readState(address) {
      const engine = at(address);
      return engine ? stateOf(engine) : null;
    },
    held: (engine) =>
      named(engine).order.hold.map(
        ({ model, version, layers }) =>
          `${model}/${version}:${layers.from}-${layers.to}`,
      ),
    silence(engine) {
      named(engine).isUp = false;
    },
    bringBack(engine, { isRestarted }) {
      const found = named(engine);
      found.isUp = true;
      if (!isRestarted) return;
      found.incarnation += 1;
      found.order = NOTHING;
    },
    report(engine, load) {
      named(engine).load = load;
    },
  };
}

function stateOf(engine: OrderedEngine): EngineState {
  const { settings, order, incarnation, load } = engine;
  return {
    engine: settings.id,
    incarnation,
    accelerator: settings.accelerator,
    failureDomain: settings.failureDomain,
    roles: settings.roles,
    fencingNumber: order.fencingNumber,
    noteNumber: order.noteNumber,
    held: order.hold,
    adapters: order.adapters,
    running: [],
    leaving: false,
    load,
  };
}
