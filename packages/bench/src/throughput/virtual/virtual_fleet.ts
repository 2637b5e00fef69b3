/** What one virtual instance knows of the engines, and how it counts on them. */
import type { EngineFleet, EngineSnapshot } from "@rosemarypin/backends";
import type { VirtualEngine } from "./virtual_engine.ts";

/** Creates the fleet of one instance; a dead engine is known as such. */
export function createVirtualFleet(
  engines: readonly VirtualEngine[],
  options: { readonly model: string; readonly version: string },
): EngineFleet {
  const inFlight = new Map<string, number>();
  const described = engines.map((engine) => describe(engine, options));

  function change(ids: readonly string[], by: 1 | -1): void {
    for (const id of ids) inFlight.set(id, (inFlight.get(id) ?? 0) + by);
  }

  return {
    engines: () =>
      engines.map((engine, index) => ({
        ...(described[index] as (typeof described)[number]),
        usable: engine.isAlive(),
        inFlight: inFlight.get(engine.id) ?? 0,
      })),
    observe: () => {},
    reportLost: () => {},
    occupy(ids) {
      change(ids, 1);
      let ended = false;
      return () => {
        if (!ended) change(ids, -1);
        ended = true;
      };
    },
    stop: () => {},
  };
}

function describe(
  { id, failureDomain, layers }: VirtualEngine,
  options: { readonly model: string; readonly version: string },
): Pick<EngineSnapshot, "settings" | "state"> {
  const { model, version } = options;
  const roles = [{ model, layers }];
  const common = { failureDomain, accelerator: "virtual", roles };
  return {
    settings: {
      id,
      address: { host: "127.0.0.1", port: 1 },
      checksFencing: true,
      ...common,
    },
    state: {
      engine: id,
      ...common,
      fencingNumber: 1,
      noteNumber: 1,
      held: [{ model, version, layers }],
      adapters: [],
      running: [],
      leaving: false,
      load: 0,
    },
  };
}
