/** The gateway's model of the configuration that operators publish. */
import type { ModelShape } from "@rosemarypin/pipelines";

/** Kind of a request, which decides whether and how it can be retried. */
export type RequestKind = "idempotent" | "non_idempotent" | "stream";

/** A part of a route's traffic that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** How requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  /** In lower case and without a port. */
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Whether another server may resume a broken stream after its last event. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
  /** Maximum time until the answer is complete, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Latency objective for an answer, or for the first event of a stream, in
   * milliseconds.
   */
  readonly objectiveMs: number;
  /** Objective for the longest gap between events, in milliseconds. */
  readonly pauseObjectiveMs: number;
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
}

/** Speed and memory of engines with one kind of accelerator. */
export interface EngineKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Time of a decoding step, relative to an engine with factor 1. */
  readonly stepFactor: number;
  /** Time to read a prompt, relative to an engine with factor 1. */
  readonly prefillFactor: number;
}

/** Model of a service and the kinds of engines that run it. */
export interface EngineShape {
  readonly model: ModelShape;
  /** By name. */
  readonly kinds: ReadonlyMap<string, EngineKind>;
  /**
   * Number of loads from the source of the weights that don't slow each other
   * down; absent if it is unknown.
   */
  readonly maxParallelLoads?: number;
}

/** A service that backend servers offer. */
export interface Service {
  readonly name: string;
  /** Set if engines serve the model in pipelines; `null` for plain services. */
  readonly engine: EngineShape | null;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** An organisation, identified by the key of a request. */
export interface Organisation {
  readonly name: string;
  /** Overrides the priority of the route; `null` for no override. */
  readonly priority: number | null;
}

/** One complete version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  /** By name. */
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** By key; `null` if no route needs a key. */
  readonly organisations: ReadonlyMap<string, Organisation> | null;
}

/** Finds the route of a request. */
export interface RouteTable {
  /** Returns the route with the longest path prefix that matches. */
  find(host: string, path: string): Route | null;
}

/** Indexes routes by host, longest prefix first. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const hosts = new Map<string, Route[]>();
  for (const route of routes) {
    const hostRoutes = hosts.get(route.host) ?? [];
    hosts.set(route.host, hostRoutes);
    hostRoutes.push(route);
  }
  for (const hostRoutes of hosts.values()) {
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    find(host, path) {
      const hostRoutes = hosts.get(hostName(host));
      return (
        hostRoutes?.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ??
        null
      );
    },
  };
}

/** Removes the port from a `Host` header and converts it to lower case. */
function hostName(host: string): string {
  const colon = host.lastIndexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
