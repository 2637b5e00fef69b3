/** Asks the weight store for many loads without running it over. */
import type { WeightRequest } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { fullJitterMs } from "./full_jitter.ts";
import type { WeightStore } from "./weight_store.ts";

/** Requests in progress: one is served while the next is on its way. */
const AT_ONCE = 2;
const RETRY = { firstMs: 500, largestMs: 30_000 };

const log = createLogger("weights");

export interface WeightLoaderOptions {
  readonly store: WeightStore;
  /** Requests are spread so that they ask for no more than this. */
  readonly megabytesPerSecond: number;
}

export interface LoadOptions {
  /** Ends the load, before or while it runs. */
  readonly signal: AbortSignal;
  /** Loads of a lower number go first. */
  readonly priority: number;
}

/** Loads weights one after the other. */
export interface WeightLoader {
  /** Resolves to whether the weights were served; tries until then. */
  load(wanted: WeightRequest, options: LoadOptions): Promise<boolean>;
}

interface Waiting {
  readonly wanted: WeightRequest;
  readonly options: LoadOptions;
  readonly order: number;
  readonly settle: (isLoaded: boolean) => void;
  failures: number;
  /** Not to be tried before, by the monotonic clock. */
  readyAt: number;
}

/** Creates a loader with nothing to do. */
export function createWeightLoader(options: WeightLoaderOptions): WeightLoader {
  const { store, megabytesPerSecond } = options;
  const waiting: Waiting[] = [];
  let running = 0;
  let count = 0;
  /** Failures in a row that would have met any request. */
  let outage = 0;
  /** When the next request may be sent. */
  let openAt = 0;
  let timer: NodeJS.Timeout | undefined;

  /**
   * After an outage every engine of the domain lacks weights. Each retrying
   * for itself would send them all at once when the store returns, which
   * fails it again. So the wait belongs to the loader: whatever is in line,
   * two requests at most meet a store that failed, after a random time.
   */
  function pump(): void {
    clearTimeout(timer);
    while (running < AT_ONCE) {
      const next = pickNext();
      if (!next) return wakeLater();
      waiting.splice(waiting.indexOf(next), 1);
      void run(next);
    }
  }

  function pickNext(): Waiting | undefined {
    const now = performance.now();
    if (openAt > now) return undefined;
    return waiting
      .filter(({ readyAt }) => readyAt <= now)
      .sort(
        (a, b) => a.options.priority - b.options.priority || a.order - b.order,
      )[0];
  }

  function wakeLater(): void {
    if (waiting.length === 0) return;
    const ready = Math.min(...waiting.map(({ readyAt }) => readyAt));
    const waitMs = Math.max(openAt, ready) - performance.now();
    timer = setTimeout(pump, Math.max(1, Math.ceil(waitMs)));
  }

  async function run(next: Waiting): Promise<void> {
    const { wanted, options: asked } = next;
    running += 1;
    const takesMs = (wanted.megabytes / megabytesPerSecond) * 1_000;
    openAt = Math.max(openAt, performance.now()) + takesMs;
    const result = await store.load(wanted, asked.signal);
    running -= 1;
    if (asked.signal.aborted) next.settle(false);
    else if (result.kind === "loaded") {
      outage = 0;
      next.settle(true);
    } else tryLater(next, result);
    pump();
  }

  function tryLater(
    failed: Waiting,
    result: { readonly kind: string; readonly detail: string },
  ): void {
    const { engine, version } = failed.wanted;
    const { kind, detail } = result;
    log.warn("load_failed", { engine, version, kind, reason: detail });
    const now = performance.now();
    failed.failures += 1;
    if (kind === "unavailable") {
      outage += 1;
      openAt = Math.max(openAt, now + fullJitterMs(outage, RETRY));
    } else failed.readyAt = now + fullJitterMs(failed.failures, RETRY);
    waiting.push(failed);
  }

  return {
    load(wanted, asked) {
      if (asked.signal.aborted) return Promise.resolve(false);
      return new Promise((resolve) => {
        count += 1;
        const entry: Waiting = {
          wanted,
          options: asked,
          order: count,
          failures: 0,
          readyAt: 0,
          settle(isLoaded) {
            asked.signal.removeEventListener("abort", leave);
            resolve(isLoaded);
          },
        };
        function leave(): void {
          const index = waiting.indexOf(entry);
          if (index < 0) return;
          waiting.splice(index, 1);
          entry.settle(false);
        }
        asked.signal.addEventListener("abort", leave, { once: true });
        waiting.push(entry);
        pump();
      });
    },
  };
}
