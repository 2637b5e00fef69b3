/** Rate limit and circuit breaker around any client of the object API. */
import type { Metrics } from "@rosemarypin/telemetry";
import { createCallBudget } from "./call_budget.ts";
import { createCallQueue } from "./call_queue.ts";
import type {
  ObjectStore,
  StoreCallOptions,
  StoreResult,
} from "./object_store.ts";
import { createStoreBreaker } from "./store_breaker.ts";

/** Object that probes read; it need not exist. */
const PROBE_KEY = "rosemarypin/probe";

export interface GuardedObjectStoreOptions {
  /** The client that sends the calls. */
  readonly client: ObjectStore;
  /** Average rate; a burst may have the size of one second's calls. */
  readonly callsPerSecond: number;
  /** Size of the fleet; probes are spread out accordingly. */
  readonly instances?: () => number;
  readonly metrics?: Metrics;
}

/**
 * Creates a client whose calls share one budget, queue by urgency, and fail
 * fast while the store does not respond.
 */
export function createGuardedObjectStore(
  options: GuardedObjectStoreOptions,
): ObjectStore {
  const { client } = options;
  const queue = createCallQueue(createCallBudget(options.callsPerSecond));
  const breaker = createStoreBreaker({
    instances: options.instances ?? (() => 1),
    probe: async () => {
      const result = await client.read(PROBE_KEY);
      countCall("probe", result.kind);
      return result;
    },
  });

  async function call<T>(
    operation: string,
    callOptions: StoreCallOptions,
    send: () => Promise<StoreResult<T>>,
  ): Promise<StoreResult<T>> {
    if (!(await breaker.admit())) return refusedByBreaker(operation);
    const waitMs = await queue.take({
      urgency: callOptions.urgency ?? "control",
      maxWaitMs: callOptions.maxWaitMs ?? 0,
    });
    if (waitMs > 0) {
      countCall(operation, "over_budget");
      return { kind: "over_budget", retryAfterMs: waitMs };
    }
    // The store may have become unreachable while the call was queued. Only a
    // probe may test whether it has recovered, never a write.
    if (!(await breaker.admit())) return refusedByBreaker(operation);
    const result = await breaker.run(send);
    countCall(operation, result.kind);
    return result;
  }

  function refusedByBreaker(operation: string): StoreResult<never> {
    countCall(operation, "not_sent");
    return {
      kind: "unavailable",
      detail: "the store is unavailable; the call was not sent",
    };
  }

  function countCall(operation: string, result: string): void {
    options.metrics?.storeCalls.inc({ operation, result });
  }

  return {
    read: (key, callOptions = {}) =>
      call("read", callOptions, () => client.read(key, callOptions)),
    list: (prefix, callOptions = {}) =>
      call("list", callOptions, () => client.list(prefix, callOptions)),
    write: (key, value, callOptions) =>
      call("write", callOptions, () => client.write(key, value, callOptions)),
    remove: (key, callOptions) =>
      call("remove", callOptions, () => client.remove(key, callOptions)),
    watch: (prefix, callOptions) =>
      call("watch", callOptions, () => client.watch(prefix, callOptions)),
  };
}
