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

/** A store that records the time of each request. */
function createStore(options: { readonly takesMs?: number } = {}) {
  const requests: { readonly at: number; readonly engine: string }[] = [];
  let answer: WeightResult = { kind: "loaded" };
  let inProgress = 0;
  let maxInProgress = 0;
  const store: WeightStore = {
    async load({ engine }) {
      requests.push({ at: performance.now(), engine });
      inProgress += 1;
      maxInProgress = Math.max(maxInProgress, inProgress);
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
    maxInProgress: () => maxInProgress,
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
    const loadOptions = { signal, priority: index % 2 };
    void loader
      .load(weightsFor(index), loadOptions)
      .then((isLoaded) => loaded.push(isLoaded));
  }
  return loaded;
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

describe("weight loader", () => {
  it("limits the rate of requested weights", async () => {
    // Forty engines lack 10 MB each; the limit is 100 MB a second.
    const { store, requests } = createStore();
    startLoads(40, { store });
    await vi.advanceTimersByTimeAsync(2 * SECOND);
    expect(requests.length).toBeGreaterThanOrEqual(19);
    expect(requests.length).toBeLessThanOrEqual(22);
  });

  it("starts loads of high priority first", async () => {
    const { store, requests } = createStore();
    startLoads(6, { store });
    await vi.advanceTimersByTimeAsync(SECOND);
    const engines = requests.map(({ engine }) => engine);
    expect(engines.slice(0, 3)).toEqual(["engine-0", "engine-2", "engine-4"]);
  });

  it("runs at most two requests at once when the store is slow", async () => {
    const { store, maxInProgress } = createStore({ takesMs: 5 * SECOND });
    startLoads(20, { store });
    await vi.advanceTimersByTimeAsync(60 * SECOND);
    expect(maxInProgress()).toBe(2);
  });

  it("does not overload a recovering store", async () => {
    // The store is unreachable for ten minutes while eighty engines lack
    // weights. With independent retries, their requests would overload the
    // store when it recovers.
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

  it("continues with other loads when one is refused", async () => {
    // The store refuses one version. Retried without a delay of its own, it
    // would block all other loads.
    const { store, requests } = createStore();
    const strict: WeightStore = {
      async load(wanted, signal) {
        const result = await store.load(wanted, signal);
        const isAccepted = wanted.engine !== "engine-0";
        return isAccepted ? result : { kind: "refused", detail: "404" };
      },
    };
    const loaded = startLoads(10, { store: strict });
    await vi.advanceTimersByTimeAsync(5 * SECOND);
    expect(loaded).toHaveLength(9);
    expect(requests.length).toBeGreaterThan(10);
  });

  it("cancels queued loads when their signal is aborted", async () => {
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
