import type { WeightRequest } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createWeightLoader } from "./weight_loader.ts";
import type { WeightResult, WeightStore } from "./weight_store.ts";

const SECOND = 1_000;

function weightsFor(index: number, megabytes = 10): WeightRequest {
  return {
    engine: `engine-${index}`,
    model: "assist",
    version: "v1",
    layers: { from: 0, to: 4 },
    megabytes,
  };
}

/** A store that notes when each request came. */
function createStore(options: { readonly takesMs?: number } = {}) {
  const requests: { readonly at: number; readonly engine: string }[] = [];
  let answer: WeightResult = { kind: "loaded" };
  let inProgress = 0;
  let most = 0;
  const store: WeightStore = {
    async load({ engine }) {
      requests.push({ at: performance.now(), engine });
      inProgress += 1;
      most = Math.max(most, inProgress);
      const result = answer;
      const takesMs = options.takesMs ?? 0;
      await new Promise((resolve) => setTimeout(resolve, takesMs));
      inProgress -= 1;
      return result;
    },
  };
  return {
    store,
    requests,
    most: () => most,
    answer: (next: WeightResult) => (answer = next),
  };
}

function startLoads(
  count: number,
  options: { readonly store: WeightStore; readonly signal?: AbortSignal },
) {
  const { store, signal = new AbortController().signal } = options;
  const loader = createWeightLoader({ store, megabytesPerSecond: 100 });
  const loaded: boolean[] = [];
  for (let index = 0; index < count; index++) {
    const asked = { signal, priority: index % 2 };
    void loader
      .load(weightsFor(index), asked)
      .then((isLoaded) => loaded.push(isLoaded));
  }
  return loaded;
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

describe("loads of weights", () => {
  it("ask for no more than the rate", async () => {
    // Forty engines lack 10 MB each, and 100 MB a second may be asked for.
    const { store, requests } = createStore();
    startLoads(40, { store });
    await vi.advanceTimersByTimeAsync(2 * SECOND);
    expect(requests.length).toBeGreaterThanOrEqual(19);
    expect(requests.length).toBeLessThanOrEqual(22);
  });

  it("begin with what is needed first", async () => {
    const { store, requests } = createStore();
    startLoads(6, { store });
    await vi.advanceTimersByTimeAsync(SECOND);
    const engines = requests.map(({ engine }) => engine);
    expect(engines.slice(0, 3)).toEqual(["engine-0", "engine-2", "engine-4"]);
  });

  it("have two in progress at most, however slow the store is", async () => {
    const { store, most } = createStore({ takesMs: 5 * SECOND });
    startLoads(20, { store });
    await vi.advanceTimersByTimeAsync(60 * SECOND);
    expect(most()).toBe(2);
  });

  it("do not run over a store that comes back", async () => {
    // The store is away for ten minutes while eighty engines lack weights.
    // Each retrying for itself, their requests would fail it as it returns.
    const { store, requests, answer } = createStore();
    answer({ kind: "unavailable", detail: "down" });
    const loaded = startLoads(80, { store });
    await vi.advanceTimersByTimeAsync(600 * SECOND);
    const late = requests.filter(({ at }) => at > performance.now() - 60_000);
    expect(late.length).toBeLessThan(30);
    expect(loaded).toEqual([]);
    const before = requests.length;
    answer({ kind: "loaded" });
    await vi.advanceTimersByTimeAsync(60 * SECOND);
    expect(loaded).toHaveLength(80);
    const first = requests[before]?.at ?? 0;
    const inFirstSecond = requests
      .slice(before)
      .filter(({ at }) => at < first + SECOND);
    expect(inFirstSecond.length).toBeLessThanOrEqual(12);
  });

  it("of other weights go on when some are refused", async () => {
    // The store does not know one version. Tried in turn without end, it
    // would hold up all other loads.
    const { store, requests } = createStore();
    const strict: WeightStore = {
      async load(wanted, signal) {
        const result = await store.load(wanted, signal);
        const isKnown = wanted.engine !== "engine-0";
        return isKnown ? result : { kind: "refused", detail: "404" };
      },
    };
    const loaded = startLoads(10, { store: strict });
    await vi.advanceTimersByTimeAsync(5 * SECOND);
    expect(loaded).toHaveLength(9);
    expect(requests.length).toBeGreaterThan(10);
  });

  it("end when they are not wanted any more", async () => {
    const { store, requests, answer } = createStore();
    answer({ kind: "unavailable", detail: "down" });
    const stopping = new AbortController();
    const loaded = startLoads(5, { store, signal: stopping.signal });
    await vi.advanceTimersByTimeAsync(5 * SECOND);
    stopping.abort();
    await vi.advanceTimersByTimeAsync(60 * SECOND);
    const before = requests.length;
    await vi.advanceTimersByTimeAsync(60 * SECOND);
    expect(loaded).toEqual([false, false, false, false, false]);
    expect(requests).toHaveLength(before);
  });
});
