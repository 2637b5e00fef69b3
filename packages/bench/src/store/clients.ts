/** Users of the object API as an instance has them, many in one process. */

import { createObjectStore } from "@rosemarypin/platform";
import {
  createGuardedObjectStore,
  followObjects,
  LONG_WATCH_TIMEOUTS,
  type ObjectStore,
} from "@rosemarypin/store";
import { pause } from "@rosemarypin/timing";

const HEAD_KEY = "bench/notes/head";
const LEASE_KEY = "bench/leases/a";
/** Behind the head object, which is written first. */
const FIRST_REVISION = 2;
const LEASE_EVERY_MS = 2_000;
/** How often each instance tries to write a claim, also in an outage. */
const CLAIM_EVERY_MS = 4_000;
const CALLS_PER_SECOND = 50;
const PLAIN_RETRY_MS = 1_000;

/** Starts the store's users of one instance. */
export type StartClient = (options: {
  /** HOST:PORT of the store. */
  readonly address: string;
  readonly fleet: number;
  readonly signal: AbortSignal;
}) => void;

/** As the daemon has it: breaker, full jitter, budget. */
export const startOwnClient: StartClient = ({ address, fleet, signal }) => {
  const store = createGuardedObjectStore({
    client: createObjectStore(address, LONG_WATCH_TIMEOUTS),
    callsPerSecond: CALLS_PER_SECOND,
    instances: () => fleet,
  });
  void followObjects(store, HEAD_KEY, { onObject() {}, signal });
  repeat(() => store.read(LEASE_KEY), LEASE_EVERY_MS, signal);
  repeat(() => writeClaim(store), CLAIM_EVERY_MS, signal);
};

/** For comparison: no breaker, and every call that failed again in 1 s. */
export const startPlainClient: StartClient = ({ address, signal }) => {
  const store = createObjectStore(address, LONG_WATCH_TIMEOUTS);
  void watchPlainly(store, signal);
  repeat(() => store.read(LEASE_KEY), LEASE_EVERY_MS, signal);
  repeat(() => writeClaim(store), CLAIM_EVERY_MS, signal);
};

async function watchPlainly(
  store: ObjectStore,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const since = FIRST_REVISION;
    const result = await store.watch(HEAD_KEY, { since, signal });
    if (result.kind !== "ok") await pause(PLAIN_RETRY_MS);
  }
}

function writeClaim(store: ObjectStore): Promise<unknown> {
  const key = `bench/claims/${Math.random()}`;
  return store.write(key, {}, { expectedVersion: null });
}

/** Repeats a call at an interval, from a random moment on. */
function repeat(
  call: () => Promise<unknown>,
  everyMs: number,
  signal: AbortSignal,
): void {
  let timer = setTimeout(run, Math.random() * everyMs);
  signal.addEventListener("abort", () => clearTimeout(timer));

  function run(): void {
    void call();
    timer = setTimeout(run, everyMs);
  }
}
