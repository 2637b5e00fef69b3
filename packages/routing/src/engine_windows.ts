/** Concurrency windows of all engines that this instance uses. */
import type { EngineSnapshot } from "@rosemarypin/backends";
import { createEngineWindow, type EngineWindow } from "./engine_window.ts";

export interface EngineWindows {
  sizeOf(engine: string): number;
  /** Records the gap between two tokens of an answer on these engines. */
  observe(engines: readonly string[], gapMs: number): void;
  /**
   * Records which engines are usable and what runs on them. Resets the window
   * of an engine that has become usable after it was not.
   */
  update(engines: readonly EngineSnapshot[]): void;
}

/** Creates an empty set; the window of an engine is created on first use. */
export function createEngineWindows(options: {
  readonly betweenTokensMs: number;
  readonly maxSize: number;
}): EngineWindows {
  const windows = new Map<string, EngineWindow>();
  const inFlight = new Map<string, number>();
  const wasUsable = new Map<string, boolean>();

  function windowOf(engine: string): EngineWindow {
    const existing = windows.get(engine);
    if (existing) return existing;
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
    update(engines) {
      for (const { settings, usable, inFlight: running } of engines) {
        const { id } = settings;
        if (usable && wasUsable.get(id) === false) windowOf(id).reset();
        wasUsable.set(id, usable);
        inFlight.set(id, running);
      }
    },
  };
}
