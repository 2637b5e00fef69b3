import { describe, expect, it } from "vitest";
import { createEngineWindow, type EngineWindow } from "./engine_window.ts";

const ENGINE_SPEED = 0.8;
const LEAST_GAP_MS = 40;

/** An engine of that speed: beyond its best load, gaps grow with the load. */
function gapAt(load: number): number {
  return Math.max(LEAST_GAP_MS, load / ENGINE_SPEED);
}

/** Uses all of the window, beside `others`, for a number of rounds. */
function run(
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
  return createEngineWindow({ betweenTokensMs: 79, largest: 256 });
}

describe("the window of an engine", () => {
  it("grows until the pace nears the objective, and no further", () => {
    const window = createWindow();
    run(window, { rounds: 400 });
    const gapMs = gapAt(window.size());
    expect(gapMs).toBeGreaterThan(LEAST_GAP_MS);
    expect(gapMs).toBeLessThan(79);
  });

  it("starts small on a new engine and on one that came back", () => {
    // An engine returns with cold memory. If all instances gave it their
    // whole old window at once, it would be the slowest engine of all.
    const window = createWindow();
    expect(window.size()).toBe(4);
    run(window, { rounds: 400 });
    window.reset();
    expect(window.size()).toBe(4);
  });

  it("shrinks when others load the engine", () => {
    // Another instance starts to use the engine. Nobody tells this one; the
    // tokens that come later are all there is to see.
    const window = createWindow();
    run(window, { rounds: 400 });
    const alone = window.size();
    run(window, { rounds: 400, others: alone });
    expect(window.size()).toBeLessThan(alone * 0.7);
  });

  it("settles near equal sizes with that of another instance", () => {
    const one = createWindow();
    const two = createWindow();
    run(one, { rounds: 300 });
    for (let round = 0; round < 3_000; round++) {
      const sizes = [one.size(), two.size()];
      run(one, { rounds: 1, others: sizes[1] ?? 0 });
      run(two, { rounds: 1, others: sizes[0] ?? 0 });
    }
    const ratio = one.size() / two.size();
    expect(ratio).toBeGreaterThan(0.6);
    expect(ratio).toBeLessThan(1.7);
  });

  it("does not grow while it is not used", () => {
    const window = createWindow();
    for (let token = 0; token < 100; token++) {
      window.observe(LEAST_GAP_MS, { inFlight: 1 });
    }
    expect(window.size()).toBe(4);
  });

  it("never closes, even on an engine that misses the objective alone", () => {
    const window = createWindow();
    for (let token = 0; token < 10_000; token++) {
      window.observe(500, { inFlight: window.size() });
    }
    expect(window.size()).toBeGreaterThanOrEqual(1);
  });

  it("is not shrunk by the slow partners of a healthy engine", () => {
    // Half of the pipelines through an engine go through an overloaded one
    // further down. The healthy engine must not be blamed for their pace.
    const window = createWindow();
    run(window, { rounds: 20 });
    const before = window.size();
    for (let token = 0; token < 200; token++) {
      window.observe(token % 2 === 0 ? 40 : 200, { inFlight: 1 });
    }
    expect(window.size()).toBe(before);
  });
});
