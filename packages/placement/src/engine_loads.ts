/** Loads of weights from the weight store to the engines of a domain. */

import type { HeldLayers } from "@rosemarypin/schemas";
import type { WeightLoader } from "@rosemarypin/store";
import { isSameRange } from "./held_layers.ts";
import type { MissingWeights } from "./placed_state.ts";

export interface EngineLoadsOptions {
  readonly loader: Pick<WeightLoader, "load">;
  /** Called when a load to an engine has finished. */
  readonly onLoaded: (engine: string) => void;
}

/** Running and finished loads of each engine. */
export interface EngineLoads {
  /** Starts loads of missing weights, and aborts loads of any others. */
  update(engine: string, missing: readonly MissingWeights[]): void;
  /** Whether the layers are loaded, but the engine does not report them yet. */
  isLoaded(engine: string, wanted: HeldLayers): boolean;
  /** Aborts and drops loads of an engine whose memory a restart emptied. */
  clear(engine: string): void;
  /** Drops finished loads of layers that the engine reports as held. */
  dropHeld(engine: string, held: readonly HeldLayers[]): void;
  stop(): void;
}

interface Load {
  readonly wanted: HeldLayers;
  readonly abortController: AbortController;
  isDone: boolean;
}

/** Creates a tracker without loads. */
export function createEngineLoads(options: EngineLoadsOptions): EngineLoads {
  const loads = new Map<string, Load[]>();

  function loadsOf(engine: string): readonly Load[] {
    return loads.get(engine) ?? [];
  }

  /** Keeps the matching loads of an engine and aborts the others. */
  function retain(engine: string, isKept: (load: Load) => boolean): void {
    const all = loadsOf(engine);
    for (const load of all) if (!isKept(load)) load.abortController.abort();
    loads.set(engine, all.filter(isKept));
  }

  async function start(engine: string, missing: MissingWeights): Promise<void> {
    const { wanted, megabytes, priority } = missing;
    const abortController = new AbortController();
    const load: Load = { wanted, abortController, isDone: false };
    loads.set(engine, [...loadsOf(engine), load]);
    load.isDone = await options.loader.load(
      { engine, ...wanted, megabytes },
      { signal: abortController.signal, priority },
    );
    if (load.isDone) options.onLoaded(engine);
  }

  return {
    update(engine, missing) {
      const isWanted = ({ wanted }: Load) =>
        missing.some((needed) => isSameRange(needed.wanted, wanted));
      retain(engine, isWanted);
      for (const missingWeights of missing) {
        const isStarted = loadsOf(engine).some(({ wanted }) =>
          isSameRange(wanted, missingWeights.wanted),
        );
        if (!isStarted) void start(engine, missingWeights);
      }
    },
    isLoaded: (engine, wanted) =>
      loadsOf(engine).some(
        (load) => load.isDone && isSameRange(load.wanted, wanted),
      ),
    clear: (engine) => retain(engine, () => false),
    dropHeld(engine, held) {
      retain(
        engine,
        (load) =>
          !(
            load.isDone &&
            held.some((layers) => isSameRange(layers, load.wanted))
          ),
      );
    },
    stop() {
      for (const engine of loads.keys()) retain(engine, () => false);
    },
  };
}
