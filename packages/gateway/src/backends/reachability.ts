/**
 * Detects that this instance reaches no server of a service. New connections
 * decide: those that are open may work on while no new ones are established,
 * and may be silent for good while new ones work.
 */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { BackendServer } from "../backend_server.ts";
import type { ConnectionCheck } from "./connection_check.ts";

/** Servers to which each check connects. */
const SAMPLE_SIZE = 6;
/**
 * Servers of the own failure domain in each sample. While the domain is cut off
 * from the others, only its own servers can be reached.
 */
const OWN_DOMAIN_SAMPLE_SIZE = 3;
/** Servers that can be reached accept connections within milliseconds. */
const CONNECT_TIMEOUT_MS = 200;
/** Time without a connection after which more servers are tried. */
const SECOND_SAMPLE_DELAY_MS = 50;
/** Delay of a check that shows that this process itself was late. */
const LATE_MS = 100;
const MAX_CHECK_MS = SECOND_SAMPLE_DELAY_MS + CONNECT_TIMEOUT_MS + LATE_MS;
/** Pause between two checks of a service that was found reachable. */
const MIN_CHECK_INTERVAL_MS = 500;
/** Pause between two checks of a service that was found unreachable. */
const RECHECK_INTERVAL_MS = 250;
/**
 * Share of a sample, or of its servers in the own failure domain, that makes a
 * service reachable again. A few servers that can be reached don't hold all
 * layers.
 */
const MIN_REACHED_SHARE = 0.5;
/**
 * Successful checks in a row after which a service is reachable again.
 * Hysteresis keeps requests from alternating between two ways while a link
 * fails and recovers several times a second.
 */
const CHECKS_UNTIL_REACHABLE = 4;

const log = createLogger("failures");

export interface Reachability {
  /** Starts a check of the service, unless there was one just now. */
  check(service: string): void;
  /** Whether no server of the service could be reached since a check. */
  isCutOff(service: string): boolean;
  /** Whether `isCutOff` holds, or a check is in progress. */
  mayBeCutOff(service: string): boolean;
  /** Resolves to `isCutOff`, once a check in progress has ended. */
  settled(service: string): Promise<boolean>;
  /** Services of which no server is reachable. */
  cutOffServices(): readonly string[];
  /** Registers a callback for services that were cut off or reached again. */
  onChanged(callback: () => void): void;
}

export interface ReachabilityOptions {
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  readonly serversOf: (service: string) => readonly BackendServer[];
  readonly canConnect: ConnectionCheck;
  /** Called before a service counts as reachable again. */
  readonly onReconnected: (service: string) => Promise<void>;
  readonly signal: AbortSignal;
}

interface ServiceState {
  isCutOff: boolean;
  checkedAt: number;
  /** The check in progress. */
  checking: Promise<void> | null;
}

/** Creates the detector; all services count as reachable. */
export function createReachability({
  failureDomain,
  serversOf,
  canConnect,
  onReconnected,
  signal,
}: ReachabilityOptions): Reachability {
  const states = new Map<string, ServiceState>();
  const changeCallbacks: (() => void)[] = [];

  function stateOf(service: string): ServiceState {
    const existing = states.get(service);
    if (existing) return existing;
    const state = { isCutOff: false, checkedAt: -Infinity, checking: null };
    states.set(service, state);
    return state;
  }

  /** Draws servers of the own failure domain and of the others at random. */
  function drawServers(
    service: string,
    excluded: readonly BackendServer[] = [],
  ): BackendServer[] {
    const servers = serversOf(service).filter(
      (server) => !server.leaving && !excluded.includes(server),
    );
    const own = drawSample(servers.filter(isInOwnDomain), SAMPLE_SIZE);
    const others = drawSample(
      servers.filter((server) => !isInOwnDomain(server)),
      SAMPLE_SIZE,
    );
    const ownSize = Math.max(
      OWN_DOMAIN_SAMPLE_SIZE,
      SAMPLE_SIZE - others.length,
    );
    return [...own.slice(0, ownSize), ...others].slice(0, SAMPLE_SIZE);
  }

  function isInOwnDomain(server: BackendServer): boolean {
    return server.failureDomain === failureDomain;
  }

  function connectTo({ address }: BackendServer): Promise<boolean> {
    return canConnect(address, CONNECT_TIMEOUT_MS);
  }

  async function reachesAny(service: string): Promise<boolean> {
    const sample = drawServers(service);
    if (sample.length === 0) return true;
    const isReached = resolvesToAny(sample.map(connectTo));
    const isReachedSoon = await Promise.race([
      isReached,
      pause(SECOND_SAMPLE_DELAY_MS, signal).then(() => false),
    ]);
    if (isReachedSoon) return true;
    // The servers of one sample may all have failed.
    const others = drawServers(service, sample);
    return resolvesToAny([isReached, resolvesToAny(others.map(connectTo))]);
  }

  async function reachesEnough(service: string): Promise<boolean> {
    const servers = drawServers(service);
    const isReached = await Promise.all(servers.map(connectTo));
    const isOwn = servers.map(isInOwnDomain);
    const ownReached = isReached.filter((_, index) => isOwn[index]);
    return (
      isShareReached(isReached) ||
      (ownReached.length > 0 && isShareReached(ownReached))
    );
  }

  async function runCheck(service: string, state: ServiceState): Promise<void> {
    const startedAt = performance.now();
    const isReachable = await reachesAny(service);
    state.checkedAt = performance.now();
    state.checking = null;
    const tookMs = state.checkedAt - startedAt;
    if (isReachable || tookMs > MAX_CHECK_MS) return;
    state.isCutOff = true;
    log.warn("service_cut_off", {
      service,
      servers: serversOf(service).length,
    });
    notifyChanged();
    void waitUntilReachable(service, state);
  }

  async function waitUntilReachable(
    service: string,
    state: ServiceState,
  ): Promise<void> {
    const since = performance.now();
    let successes = 0;
    while (successes < CHECKS_UNTIL_REACHABLE) {
      await pause(RECHECK_INTERVAL_MS, signal);
      if (signal.aborted) return;
      successes = (await reachesEnough(service)) ? successes + 1 : 0;
    }
    await onReconnected(service);
    state.isCutOff = false;
    state.checkedAt = performance.now();
    const lastedMs = performance.now() - since;
    log.info("service_reached_again", {
      service,
      after_ms: lastedMs.toFixed(0),
    });
    notifyChanged();
  }

  function check(service: string): void {
    const state = stateOf(service);
    const sinceLastMs = performance.now() - state.checkedAt;
    if (state.isCutOff || state.checking) return;
    if (sinceLastMs < MIN_CHECK_INTERVAL_MS) return;
    state.checking = runCheck(service, state);
  }

  function notifyChanged(): void {
    for (const callback of changeCallbacks) callback();
  }

  return {
    check,
    isCutOff: (service) => states.get(service)?.isCutOff === true,
    mayBeCutOff(service) {
      const state = states.get(service);
      return state !== undefined && (state.isCutOff || state.checking !== null);
    },
    async settled(service) {
      await states.get(service)?.checking;
      return states.get(service)?.isCutOff === true;
    },
    cutOffServices: () =>
      [...states.keys()].filter((service) => stateOf(service).isCutOff),
    onChanged(callback) {
      changeCallbacks.push(callback);
    },
  };
}

/** Resolves to true with the first attempt that does, else with the last. */
function resolvesToAny(
  attempts: readonly Promise<boolean>[],
): Promise<boolean> {
  return new Promise((resolve) => {
    for (const attempt of attempts)
      void attempt.then((isReached) => isReached && resolve(true));
    void Promise.all(attempts).then(() => resolve(false));
  });
}

function isShareReached(isReached: readonly boolean[]): boolean {
  const reachedCount = isReached.filter(Boolean).length;
  return reachedCount >= MIN_REACHED_SHARE * isReached.length;
}

/** Draws up to `size` elements at random, each at most once. */
function drawSample<Element>(
  elements: readonly Element[],
  size: number,
): Element[] {
  const remaining = [...elements];
  const sample: Element[] = [];
  while (sample.length < size && remaining.length > 0) {
    const index = Math.floor(Math.random() * remaining.length);
    sample.push(...remaining.splice(index, 1));
  }
  return sample;
}
