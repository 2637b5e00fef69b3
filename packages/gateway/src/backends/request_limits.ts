/**
 * Request rates to which backend servers limit all instances together. Each
 * instance keeps to a share of a limit, so that the sum stays below it without
 * communication between the instances.
 */
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendServer } from "../backend_server.ts";
import { createIncarnationMap, type Incarnation } from "./incarnation_map.ts";

/**
 * Share of a limit that the instances use. The margin covers instances whose
 * views of the number of instances differ.
 */
const USABLE_SHARE = 0.85;
/**
 * Weight of an instance in the failure domain of the server, relative to one in
 * another domain. Instances prefer the servers of their domain, so equal shares
 * would leave most of a limit unused.
 */
const SAME_DOMAIN_WEIGHT = 8;
/**
 * Requests beyond the limit of a second that may arrive at the same moment. If
 * there are more instances, one that has sent nothing for a while draws a random
 * delay, so that a common cause doesn't make all of them send together.
 */
const MAX_SIMULTANEOUS_REQUESTS = 4;
const IDLE_AFTER_MS = 4_000;
/** Lower limits are treated as this one, so that their end is noticed. */
const MIN_REQUESTS_PER_SECOND = 0.1;

const log = createLogger("backends");

export type LimitedServer = Incarnation & Pick<BackendServer, "failureDomain">;

export interface RequestLimits {
  /** Applies the limit that a server named last; `null` lifts it. */
  record(server: LimitedServer, requestsPerSecond: number | null): void;
  /** The limit for all instances together; `null` if none is known. */
  limitOf(server: Incarnation): number | null;
  /** Whether the server's limit allows a request at present. */
  allows(server: LimitedServer): boolean;
  /**
   * Counts a request that is about to be sent; returns false if the limit does
   * not allow it.
   */
  take(server: LimitedServer): boolean;
}

export interface RequestLimitsOptions {
  readonly failureDomain: string;
  /**
   * Number of instances in a failure domain that may send requests, or in all
   * with `null`; this one is included.
   */
  readonly countInstances: (failureDomain: string | null) => number;
}

interface Limit {
  requestsPerSecond: number;
  /** Time of the monotonic clock from which the next request is allowed. */
  nextAt: number;
}

/** Creates the limits of one instance; none is known. */
export function createRequestLimits({
  failureDomain,
  countInstances,
}: RequestLimitsOptions): RequestLimits {
  const limits = createIncarnationMap<Limit>();

  /** Share of the server's limit that this instance may use. */
  function ownShare(server: LimitedServer): number {
    const sameDomain = countInstances(server.failureDomain);
    const others = Math.max(0, countInstances(null) - sameDomain);
    const ownWeight =
      server.failureDomain === failureDomain ? SAME_DOMAIN_WEIGHT : 1;
    const totalWeight = SAME_DOMAIN_WEIGHT * sameDomain + others;
    return ownWeight / Math.max(ownWeight, totalWeight);
  }

  function intervalMs(server: LimitedServer, limit: Limit): number {
    const rate = Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond);
    return 1_000 / (rate * USABLE_SHARE * ownShare(server));
  }

  /** Delay of the first request of an instance that has sent none lately. */
  function drawDelayMs(server: LimitedServer, limit: Limit): number {
    const maxTogether = MAX_SIMULTANEOUS_REQUESTS + limit.requestsPerSecond;
    if (countInstances(null) <= maxTogether) return 0;
    return Math.random() * intervalMs(server, limit);
  }

  function update(server: LimitedServer, requestsPerSecond: number): void {
    const now = performance.now();
    const last = limits.get(server);
    if (last?.requestsPerSecond === requestsPerSecond) return;
    log.info("request_limit", {
      id: server.id,
      per_second: requestsPerSecond,
      share: ownShare(server).toFixed(3),
    });
    if (last) {
      last.requestsPerSecond = requestsPerSecond;
      last.nextAt = Math.min(last.nextAt, now + intervalMs(server, last));
      return;
    }
    const limit = { requestsPerSecond, nextAt: now };
    limit.nextAt += drawDelayMs(server, limit);
    limits.set(server, limit);
  }

  return {
    record(server, requestsPerSecond) {
      if (requestsPerSecond !== null) return update(server, requestsPerSecond);
      if (!limits.get(server)) return;
      limits.delete(server);
      log.info("request_limit_lifted", { id: server.id });
    },
    limitOf: (server) => limits.get(server)?.requestsPerSecond ?? null,
    allows(server) {
      const limit = limits.get(server);
      return !limit || performance.now() >= limit.nextAt;
    },
    take(server) {
      const limit = limits.get(server);
      if (!limit) return true;
      const now = performance.now();
      if (now < limit.nextAt) return false;
      const isIdle = now - limit.nextAt > IDLE_AFTER_MS;
      const delayMs = isIdle ? drawDelayMs(server, limit) : 0;
      const isAllowed = delayMs === 0;
      limit.nextAt = now + (isAllowed ? intervalMs(server, limit) : delayMs);
      return isAllowed;
    },
  };
}
