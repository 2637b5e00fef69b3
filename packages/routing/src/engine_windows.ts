/** The windows of all engines that this instance uses. */
import type { KnownEngine } from "@rosemarypin/backends";
import { createEngineWindow, type EngineWindow } from "./engine_window.ts";

export interface EngineWindows {
  sizeOf(engine: string): number;
  /** Takes in the time between two tokens of an answer on these engines. */
  observe(engines: readonly string[], gapMs: number): void;
  /** Starts engines over that were unusable and are usable again. */
  follow(engines: readonly KnownEngine[]): void;
}

/** Creates windows; each begins when its engine is first asked for. */
export function createEngineWindows(options: {
  readonly betweenTokensMs: number;
  readonly largest: number;
}): EngineWindows {
  const windows = new Map<string, EngineWindow>();
  const inFlight = new Map<string, number>();
  const wasUsable = new Map<string, boolean>();

  function windowOf(engine: string): EngineWindow {
    const known = windows.get(engine);
    if (known) return known;
    const created = createEngineWindow(options);
    windows.set(engine, created);
    return created;
  }

  return {
    sizeOf: (engine) => windowOf(engine).size(),
    observe(engines, gapMs) {
      for (const engine of engines) {
        const running = inFlight.get(engine) ?? 0;
        windowOf(engine).observe(gapMs, { inFlight: running });
      }
    },
    follow(engines) {
      for (const { settings, usable, inFlight: running } of engines) {
        const { id } = settings;
        if (usable && wasUsable.get(id) === false) windowOf(id).reset();
        wasUsable.set(id, usable);
        inFlight.set(id, running);
      }
    },
  };
}
