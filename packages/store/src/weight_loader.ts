/** Scheduler for weight loads that protects the weight store. */
import type { WeightRequest } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { fullJitterMs } from "./full_jitter.ts";
import type { WeightStore } from "./weight_store.ts";

/** Two, so that the store has the next request while it serves one. */
const MAX_CONCURRENT_REQUESTS = 2;
const RETRY_BACKOFF = { firstMs: 500, maxMs: 30_000 };

const log = createLogger("weights");

export interface WeightLoaderOptions {
  readonly store: WeightStore;
  /** Limit of the average rate of requested weights. */
  readonly megabytesPerSecond: number;
}

export interface LoadOptions {
  /** Cancels the load, whether queued or running. */
  readonly signal: AbortSignal;
  /** Loads with a lower number start first. */
  readonly priority: number;
}

/** Queues loads of weights. */
export interface WeightLoader {
  /** Retries until served; resolves to `false` if cancelled. */
  load(request: WeightRequest, options: LoadOptions): Promise<boolean>;
}

interface PendingLoad {
  readonly request: WeightRequest;
  readonly options: LoadOptions;
  readonly order: number;
  readonly settle: (isLoaded: boolean) => void;
  failures: number;
  /** Earliest time of the next attempt, by the monotonic clock. */
  readyAt: number;
}

/** Creates a loader with an empty queue. */
export function createWeightLoader(options: WeightLoaderOptions): WeightLoader {
  const { store, megabytesPerSecond } = options;
  const queue: PendingLoad[] = [];
  let runningCount = 0;
  let enqueuedCount = 0;
  /** Consecutive failures that were not specific to one request. */
  let consecutiveOutages = 0;
  /** Earliest time of the next request, by the monotonic clock. */
  let nextRequestAt = 0;
  let timer: NodeJS.Timeout | undefined;

  /**
   * After an outage, all engines of the failure domain lack weights. If each
   * load retried on its own, all of them would reach the recovering store at
   * once and overload it again. So the backoff is shared by the whole queue: a
   * failing store gets at most two requests per random delay.
   */
  function startReadyLoads(): void {
    clearTimeout(timer);
    while (runningCount < MAX_CONCURRENT_REQUESTS) {
      const next = pickNext();
      if (!next) return scheduleNextStart();
      queue.splice(queue.indexOf(next), 1);
      void run(next);
    }
  }

  function pickNext(): PendingLoad | undefined {
    const now = performance.now();
    if (nextRequestAt > now) return undefined;
    return queue
      .filter(({ readyAt }) => readyAt <= now)
      .sort(
        (a, b) => a.options.priority - b.options.priority || a.order - b.order,
      )[0];
  }

  function scheduleNextStart(): void {
    if (queue.length === 0) return;
    const earliestReadyAt = Math.min(...queue.map(({ readyAt }) => readyAt));
    const waitMs = Math.max(nextRequestAt, earliestReadyAt) - performance.now();
    timer = setTimeout(startReadyLoads, Math.max(1, Math.ceil(waitMs)));
  }

  async function run(next: PendingLoad): Promise<void> {
    const { request, options: loadOptions } = next;
    runningCount += 1;
    const transferMs = (request.megabytes / megabytesPerSecond) * 1_000;
    nextRequestAt = Math.max(nextRequestAt, performance.now()) + transferMs;
    const result = await store.load(request, loadOptions.signal);
    runningCount -= 1;
    if (loadOptions.signal.aborted) next.settle(false);
    else if (result.kind === "loaded") {
      consecutiveOutages = 0;
      next.settle(true);
    } else requeue(next, result);
    startReadyLoads();
  }

  function requeue(
    failed: PendingLoad,
    result: { readonly kind: string; readonly detail: string },
  ): void {
    const { engine, version } = failed.request;
    const { kind, detail } = result;
    log.warn("load_failed", { engine, version, kind, reason: detail });
    const now = performance.now();
    failed.failures += 1;
    if (kind === "unavailable") {
      consecutiveOutages += 1;
      nextRequestAt = Math.max(
        nextRequestAt,
        now + fullJitterMs(consecutiveOutages, RETRY_BACKOFF),
      );
    } else failed.readyAt = now + fullJitterMs(failed.failures, RETRY_BACKOFF);
    queue.push(failed);
  }

  return {
    load(request, loadOptions) {
      if (loadOptions.signal.aborted) return Promise.resolve(false);
      return new Promise((resolve) => {
        enqueuedCount += 1;
        const entry: PendingLoad = {
          request,
          options: loadOptions,
          order: enqueuedCount,
          failures: 0,
          readyAt: 0,
          settle(isLoaded) {
            loadOptions.signal.removeEventListener("abort", cancel);
            resolve(isLoaded);
          },
        };
        function cancel(): void {
          const index = queue.indexOf(entry);
          if (index < 0) return;
          queue.splice(index, 1);
          entry.settle(false);
        }
        loadOptions.signal.addEventListener("abort", cancel, { once: true });
        queue.push(entry);
        startReadyLoads();
      });
    },
  };
}
