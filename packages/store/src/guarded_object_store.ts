/** Keeps the calls of one instance within bounds, whatever carries them. */
import type { Metrics } from "@rosemarypin/telemetry";
import { createCallBudget } from "./call_budget.ts";
import { createCallTurns } from "./call_turns.ts";
import type {
  ObjectStore,
  StoreCallOptions,
  StoreResult,
} from "./object_store.ts";
import { createStoreBreaker } from "./store_breaker.ts";

/** Read to find out whether the store is back; need not exist. */
const PROBE_KEY = "rosemarypin/probe";

export interface GuardedObjectStoreOptions {
  /** The client that sends the calls. */
  readonly client: ObjectStore;
  /** Calls a second, on average; a second's worth may go at once. */
  readonly callsPerSecond: number;
  /** Size of the fleet, over which returns to the store are spread. */
  readonly instances?: () => number;
  readonly metrics?: Metrics;
}

/**
 * Creates a client whose calls share one budget, wait for their turn by their
 * urgency, and stay away from a store that does not answer.
 */
export function createGuardedObjectStore(
  options: GuardedObjectStoreOptions,
): ObjectStore {
  const { client } = options;
  const turns = createCallTurns(createCallBudget(options.callsPerSecond));
  const breaker = createStoreBreaker({
    instances: options.instances ?? (() => 1),
    probe: async () => {
      const result = await client.read(PROBE_KEY);
      count("probe", result.kind);
      return result;
    },
  });

  async function call<T>(
    operation: string,
    callOptions: StoreCallOptions,
    send: () => Promise<StoreResult<T>>,
  ): Promise<StoreResult<T>> {
    if (!(await breaker.admits())) return notSent(operation);
    const waitMs = await turns.take({
      urgency: callOptions.urgency ?? "control",
      longestWaitMs: callOptions.longestWaitMs ?? 0,
    });
    if (waitMs > 0) {
      count(operation, "over_budget");
      return { kind: "over_budget", retryAfterMs: waitMs };
    }
    // The store may have gone away during a long wait for the turn; a write
    // must not be what finds out whether it is back.
    if (!(await breaker.admits())) return notSent(operation);
    const result = await breaker.run(send);
    count(operation, result.kind);
    return result;
  }

  function notSent(operation: string): StoreResult<never> {
    count(operation, "not_sent");
    return { kind: "unavailable", detail: "the store is away; not sent" };
  }

  function count(operation: string, result: string): void {
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
