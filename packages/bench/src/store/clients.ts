/** Users of the object API as an instance has them, many in one process. */

import {
  createHttpObjectStore,
  followObjects,
  type ObjectStore,
} from "@rosemarypin/store";
import { pause } from "@rosemarypin/timing";
import { request } from "undici";

const HEAD_KEY = "bench/notes/head";
const LEASE_EVERY_MS = 2_000;
/** How often each instance tries to write a claim, also in an outage. */
const CLAIM_EVERY_MS = 4_000;
const CALLS_PER_SECOND = 50;
const PLAIN_RETRY_MS = 1_000;
const PLAIN_TIMEOUT_MS = 30_000;

/** Starts the store's users of one instance. */
export type StartClient = (options: {
  readonly url: string;
  readonly fleet: number;
  readonly signal: AbortSignal;
}) => void;

/** The client of the platform package: breaker, full jitter, budget. */
export const startOwnClient: StartClient = ({ url, fleet, signal }) => {
  const store = createHttpObjectStore({
    url,
    callsPerSecond: CALLS_PER_SECOND,
    instances: () => fleet,
  });
  void followObjects(store, HEAD_KEY, { onObject() {}, signal });
  repeat(() => store.read("bench/leases/a"), LEASE_EVERY_MS, signal);
  repeat(() => writeClaim(store), CLAIM_EVERY_MS, signal);
};

/** For comparison: no breaker, and every call that failed again in 1 s. */
export const startPlainClient: StartClient = ({ url, signal }) => {
  const get = (path: string) => plainCall("GET", `${url}${path}`, signal);
  void watchPlainly(get, signal);
  repeat(() => get("/objects/bench/leases/a"), LEASE_EVERY_MS, signal);
  repeat(
    () => plainCall("PUT", `${url}/objects/bench/claims/x`, signal),
    CLAIM_EVERY_MS,
    signal,
  );
};

async function watchPlainly(
  get: (path: string) => Promise<number>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const status = await get(`/watch?prefix=${HEAD_KEY}&since=1`);
    if (status !== 200) await pause(PLAIN_RETRY_MS);
  }
}

async function plainCall(
  method: "GET" | "PUT",
  url: string,
  signal: AbortSignal,
): Promise<number> {
  try {
    const timeout = AbortSignal.timeout(PLAIN_TIMEOUT_MS);
    const response = await request(url, {
      method,
      body: method === "PUT" ? "{}" : null,
      headers: { "if-none-match": "*" },
      signal: AbortSignal.any([signal, timeout]),
    });
    await response.body.dump();
    return response.statusCode;
  } catch {
    return 0;
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
