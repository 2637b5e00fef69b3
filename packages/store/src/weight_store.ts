/** The platform's weight store, which serves weights under a rate limit. */
import type { WeightRequest } from "@rosemarypin/schemas";
import { request } from "undici";

/** Least time that the store may take for a request. */
const SHORTEST_TIMEOUT_MS = 10_000;
/** Others share the store: a request may wait for so many like it. */
const SHARED_BY = 8;

/** How one request ended. */
export type WeightResult =
  | { readonly kind: "loaded" }
  /** The store is away, slow, or over its limit: it is the same for all. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The store answers, and does not serve these weights. */
  | { readonly kind: "refused"; readonly detail: string };

/** Serves weights to engines. */
export interface WeightStore {
  /** Resolves when the engine has been served; never throws. */
  load(wanted: WeightRequest, signal: AbortSignal): Promise<WeightResult>;
}

const TOO_MANY = 429;
const SERVER_ERROR = 500;

/** Creates a client of the store at `url`. */
export function createHttpWeightStore(options: {
  readonly url: string;
  /** The rate at which the store may serve this client. */
  readonly megabytesPerSecond: number;
}): WeightStore {
  const { url, megabytesPerSecond } = options;

  function timeoutFor(megabytes: number): AbortSignal {
    const servedMs = (megabytes / megabytesPerSecond) * 1_000;
    return AbortSignal.timeout(SHORTEST_TIMEOUT_MS + SHARED_BY * servedMs);
  }

  return {
    async load(wanted, signal) {
      try {
        const response = await request(`${url}/loads`, {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(wanted),
          signal: AbortSignal.any([signal, timeoutFor(wanted.megabytes)]),
          // The answer comes when the weights are served, however long that
          // takes; the signal above ends what takes too long.
          headersTimeout: 0,
        });
        await response.body.dump();
        return judge(response.statusCode);
      } catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return { kind: "unavailable", detail };
      }
    },
  };
}

function judge(status: number): WeightResult {
  if (status === 200) return { kind: "loaded" };
  const detail = `the weight store answered ${status}`;
  const isForAll = status === TOO_MANY || status >= SERVER_ERROR;
  return { kind: isForAll ? "unavailable" : "refused", detail };
}
