/** What this instance knows of the engines it may use. */
import type { EngineSettings, EngineState } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { EngineClient } from "./engine_client.ts";

const READ_EVERY_MS = 500;
/** After this long without an answer, nothing new goes to an engine. */
const STALE_AFTER_MS = 2_000;

const log = createLogger("backends");

/** One engine, as last heard. */
export interface KnownEngine {
  readonly settings: EngineSettings;
  /** `null` until the engine has answered once. */
  readonly state: EngineState | null;
  /** Whether new work may go to the engine. */
  readonly usable: boolean;
  /** Attempts of this instance that run on the engine. */
  readonly inFlight: number;
}

/** The engines of the settings, with fresh facts about each. */
export interface EngineFleet {
  engines(): readonly KnownEngine[];
  /** Takes in a state that another call brought. */
  observe(state: EngineState): void;
  /** Marks an engine as not to be used until it answers again. */
  reportLost(engine: string): void;
  /** Counts an attempt on each engine; returns how to end the count. */
  occupy(engines: readonly string[]): () => void;
  stop(): void;
}

interface Entry {
  readonly settings: EngineSettings;
  state: EngineState | null;
  heardAt: number;
  inFlight: number;
}

/** Starts to read the state of each engine in `engines`. */
export function createEngineFleet(options: {
  readonly engines: readonly EngineSettings[];
  readonly client: EngineClient;
}): EngineFleet {
  const entries = new Map<string, Entry>(
    options.engines.map((settings) => [
      settings.id,
      { settings, state: null, heardAt: -Infinity, inFlight: 0 },
    ]),
  );
  const timers = [...entries.values()].map((entry) => {
    void refresh(entry);
    return setInterval(() => void refresh(entry), READ_EVERY_MS);
  });

  async function refresh(entry: Entry): Promise<void> {
    const state = await options.client.readState(entry.settings.address);
    if (state) take(entry, state);
  }

  function take(entry: Entry, state: EngineState): void {
    if (!isUsable(entry)) {
      log.info("engine_heard", { engine: entry.settings.id });
    }
    entry.state = state;
    entry.heardAt = performance.now();
  }

  function isUsable(entry: Entry): boolean {
    const fresh = performance.now() - entry.heardAt < STALE_AFTER_MS;
    return fresh && entry.state !== null && !entry.state.leaving;
  }

  return {
    engines: () =>
      [...entries.values()].map((entry) => ({
        settings: entry.settings,
        state: entry.state,
        usable: isUsable(entry),
        inFlight: entry.inFlight,
      })),
    observe(state) {
      const entry = entries.get(state.engine);
      if (entry) take(entry, state);
    },
    reportLost(engine) {
      const entry = entries.get(engine);
      if (!entry) return;
      entry.heardAt = -Infinity;
      log.warn("engine_lost", { engine });
    },
    occupy(engines) {
      const taken = engines.flatMap((id) => entries.get(id) ?? []);
      for (const entry of taken) entry.inFlight += 1;
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        for (const entry of taken) entry.inFlight -= 1;
      };
    },
    stop() {
      for (const timer of timers) clearInterval(timer);
    },
  };
}
