/** Client of the platform's weight store, which has a rate limit. */
import type { WeightRequest } from "@rosemarypin/schemas";
import { withTimeout } from "@rosemarypin/timing";
import { request } from "undici";

/** Lower limit of the timeout of a request. */
const MIN_TIMEOUT_MS = 10_000;
/** Requests of the same size, of other clients, that may be served first. */
const MAX_REQUESTS_AHEAD = 8;

/** Result of one request. */
export type WeightResult =
  | { readonly kind: "loaded" }
  /** The store is unreachable, slow or overloaded, for any request. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The store refuses these weights. */
  | { readonly kind: "refused"; readonly detail: string };

/** Requests that the weight store send weights to engines. */
export interface WeightStore {
  /** Resolves once the engine has its weights or the request failed. */
  load(wanted: WeightRequest, signal: AbortSignal): Promise<WeightResult>;
}

const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;

/** Creates a client of the weight store at `url`. */
export function createHttpWeightStore(options: {
  readonly url: string;
  /** The rate at which the store may serve this client. */
  readonly megabytesPerSecond: number;
}): WeightStore {
  const { url, megabytesPerSecond } = options;

  function timeoutMsFor(megabytes: number): number {
    const transferMs = (megabytes / megabytesPerSecond) * 1_000;
    return MIN_TIMEOUT_MS + MAX_REQUESTS_AHEAD * transferMs;
  }

  async function send(
    wanted: WeightRequest,
    signal: AbortSignal,
  ): Promise<WeightResult> {
    const response = await request(`${url}/loads`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(wanted),
      signal,
      // The store replies only after it has served the weights; the signal
      // limits the time.
      headersTimeout: 0,
    });
    await response.body.dump();
    return resultOf(response.statusCode);
  }

  return {
    async load(wanted, signal) {
      const timeoutMs = timeoutMsFor(wanted.megabytes);
      try {
        return await withTimeout({ timeoutMs, signal }, (taskSignal) =>
          send(wanted, taskSignal),
        );
      } catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return { kind: "unavailable", detail };
      }
    },
  };
}

function resultOf(status: number): WeightResult {
  if (status === 200) return { kind: "loaded" };
  const detail = `the weight store answered ${status}`;
  const isStoreWide =
    status === HTTP_TOO_MANY_REQUESTS || status >= HTTP_SERVER_ERROR;
  return { kind: isStoreWide ? "unavailable" : "refused", detail };
}
