/** The configuration that operators have put in force, in our own terms. */
import type { ModelShape } from "@rosemarypin/pipelines";

/** What may be repeated of a request. */
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
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may go on elsewhere after its last event. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
  /** The longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Within it an answer, or a stream's first event, is on time. */
  readonly objectiveMs: number;
  /** The longest pause between events that is on time, in milliseconds. */
  readonly pauseObjectiveMs: number;
  /** Backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** How long a token takes on engines of one kind, and what they hold. */
export interface EngineKind {
  readonly name: string;
  readonly memoryMb: number;
  readonly stepFactor: number;
  readonly readFactor: number;
}

/** What engines of a service run together. */
export interface EngineShape {
  readonly model: ModelShape;
  readonly kinds: ReadonlyMap<string, EngineKind>;
}

/** A service that backend servers offer. */
export interface Service {
  readonly name: string;
  /** Present where engines hold layers and serve in pipelines. */
  readonly engine: EngineShape | null;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Who calls with a key. */
export interface Organisation {
  readonly name: string;
  /** Goes before the route's priority; `null` for none. */
  readonly priority: number | null;
}

/** One version of the configuration, whole. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** By key; `null` where requests need no key at all. */
  readonly organisations: ReadonlyMap<string, Organisation> | null;
}

/** Finds the route of a request. */
export interface RouteTable {
  /** The route with the longest prefix that begins the path. */
  find(host: string, path: string): Route | null;
}

/** Indexes routes by host, the longest prefix first. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const hosts = new Map<string, Route[]>();
  for (const route of routes) {
    const list = hosts.get(route.host) ?? [];
    hosts.set(route.host, list);
    list.push(route);
  }
  for (const list of hosts.values()) {
    list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    find(host, path) {
      const list = hosts.get(hostName(host));
      return (
        list?.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ?? null
      );
    },
  };
}

/** Without its port and in lower case, as routes name hosts. */
function hostName(host: string): string {
  const colon = host.lastIndexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
