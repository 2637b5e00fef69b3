import { describe, expect, it } from "vitest";
import { createEngineWindow, type EngineWindow } from "./engine_window.ts";

const ENGINE_SPEED = 0.8;
const MIN_GAP_MS = 40;

/** Gap of an engine with this load; it grows once the engine is saturated. */
function gapAt(load: number): number {
  return Math.max(MIN_GAP_MS, load / ENGINE_SPEED);
}

/** Uses the whole window, next to `others` answers, for some rounds. */
function simulateRounds(
  window: EngineWindow,
  options: { readonly rounds: number; readonly others?: number },
): void {
  for (let round = 0; round < options.rounds; round++) {
    const size = window.size();
    const gapMs = gapAt(size + (options.others ?? 0));
    for (let token = 0; token < size; token++) {
      window.observe(gapMs, { inFlight: size });
    }
  }
}

function createWindow(): EngineWindow {
  return createEngineWindow({ betweenTokensMs: 79, maxSize: 256 });
}

describe("engine window", () => {
  it("stops growing when the pace nears the objective", () => {
    const window = createWindow();
    simulateRounds(window, { rounds: 400 });
    const gapMs = gapAt(window.size());
    expect(gapMs).toBeGreaterThan(MIN_GAP_MS);
    expect(gapMs).toBeLessThan(79);
  });

  it("starts small on a new engine and on a recovered one", () => {
    // A recovered engine has cold memory. If all instances used their old
    // windows immediately, it would be the slowest engine of all.
    const window = createWindow();
    expect(window.size()).toBe(4);
    simulateRounds(window, { rounds: 400 });
    window.reset();
    expect(window.size()).toBe(4);
  });

  it("shrinks when other instances load the engine", () => {
    // Another instance starts to use the engine without notification; the
    // only sign of it is the longer time between tokens.
    const window = createWindow();
    simulateRounds(window, { rounds: 400 });
    const alone = window.size();
    simulateRounds(window, { rounds: 400, others: alone });
    expect(window.size()).toBeLessThan(alone * 0.7);
  });

  it("converges to about the size of another instance's window", () => {
    const first = createWindow();
    const second = createWindow();
    simulateRounds(first, { rounds: 300 });
    for (let round = 0; round < 3_000; round++) {
      const sizes = [first.size(), second.size()];
      simulateRounds(first, { rounds: 1, others: sizes[1] ?? 0 });
      simulateRounds(second, { rounds: 1, others: sizes[0] ?? 0 });
    }
    const ratio = first.size() / second.size();
    expect(ratio).toBeGreaterThan(0.6);
    expect(ratio).toBeLessThan(1.7);
  });

  it("does not grow while it is unused", () => {
    const window = createWindow();
    for (let token = 0; token < 100; token++) {
      window.observe(MIN_GAP_MS, { inFlight: 1 });
    }
    expect(window.size()).toBe(4);
  });

  it("stays at one or more when the engine misses the objective alone", () => {
    const window = createWindow();
    for (let token = 0; token < 10_000; token++) {
      window.observe(500, { inFlight: window.size() });
    }
    expect(window.size()).toBeGreaterThanOrEqual(1);
  });

  it("does not shrink when only other engines of its pipelines are slow", () => {
    // Half of the pipelines through the engine include an overloaded engine at
    // a later stage. Their pace must not shrink the healthy engine's window.
    const window = createWindow();
    simulateRounds(window, { rounds: 20 });
    const before = window.size();
    for (let token = 0; token < 200; token++) {
      window.observe(token % 2 === 0 ? 40 : 200, { inFlight: 1 });
    }
    expect(window.size()).toBe(before);
  });
});
