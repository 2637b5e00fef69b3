/** Weights that the weight store serves, or has served, to engines. */

import type { HeldLayers } from "@rosemarypin/schemas";
import type { WeightLoader } from "@rosemarypin/store";
import { isSameRange } from "./held_layers.ts";
import type { MissingWeights } from "./placed_state.ts";

export interface EngineLoadsOptions {
  readonly loader: Pick<WeightLoader, "load">;
  /** Called when weights were served to an engine. */
  readonly onLoaded: (engine: string) => void;
}

/** Loads by engine. */
export interface EngineLoads {
  /** Starts what is missing, and ends loads that are not wanted any more. */
  follow(engine: string, missing: readonly MissingWeights[]): void;
  /** Whether the store has served the layers, and no order named them yet. */
  isLoaded(engine: string, wanted: HeldLayers): boolean;
  /** Forgets what was served to an engine whose memory was emptied. */
  forget(engine: string): void;
  /** Forgets what the engine is seen to hold. */
  settle(engine: string, held: readonly HeldLayers[]): void;
  stop(): void;
}

interface Load {
  readonly wanted: HeldLayers;
  readonly stopping: AbortController;
  isDone: boolean;
}

/** Creates the loads of a domain's engines. */
export function createEngineLoads(options: EngineLoadsOptions): EngineLoads {
  const loads = new Map<string, Load[]>();

  function loadsOf(engine: string): readonly Load[] {
    return loads.get(engine) ?? [];
  }

  /** Keeps some loads of an engine and ends the others. */
  function keep(engine: string, isKept: (load: Load) => boolean): void {
    const all = loadsOf(engine);
    for (const load of all) if (!isKept(load)) load.stopping.abort();
    loads.set(engine, all.filter(isKept));
  }

  async function start(engine: string, missing: MissingWeights): Promise<void> {
    const { wanted, megabytes, priority } = missing;
    const stopping = new AbortController();
    const load: Load = { wanted, stopping, isDone: false };
    loads.set(engine, [...loadsOf(engine), load]);
    load.isDone = await options.loader.load(
      { engine, ...wanted, megabytes },
      { signal: stopping.signal, priority },
    );
    if (load.isDone) options.onLoaded(engine);
  }

  return {
    follow(engine, missing) {
      const isWanted = ({ wanted }: Load) =>
        missing.some((one) => isSameRange(one.wanted, wanted));
      keep(engine, isWanted);
      for (const one of missing) {
        const isKnown = loadsOf(engine).some(({ wanted }) =>
          isSameRange(wanted, one.wanted),
        );
        if (!isKnown) void start(engine, one);
      }
    },
    isLoaded: (engine, wanted) =>
      loadsOf(engine).some(
        (load) => load.isDone && isSameRange(load.wanted, wanted),
      ),
    forget: (engine) => keep(engine, () => false),
    settle(engine, held) {
      keep(
        engine,
        (load) =>
          !(load.isDone && held.some((one) => isSameRange(one, load.wanted))),
      );
    },
    stop() {
      for (const engine of loads.keys()) keep(engine, () => false);
    },
  };
}
