/**
 * Other instances to which requests can be handed off: which one to choose, and
 * which ones don't answer.
 */
import type { PeerCaller } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { LiveInstance } from "../following/mod.ts";

/** Method by which an instance shows that it is able to answer. */
export const PING_METHOD = "handoff.ping";
const PING_TIMEOUT_MS = 300;
/** Silence after which an instance with requests in progress is pinged. */
const MAX_SILENCE_MS = 400;
/**
 * Delay of a ping that shows that this process was itself blocked, so that the
 * missing answer says nothing about the other instance.
 */
const PROCESS_STALL_MS = 100;
/** Interval of pings while this instance reaches no server of some service. */
const ISOLATION_PING_INTERVAL_MS = 500;
/** Time without an answer of any instance that makes this one isolated. */
const ISOLATED_AFTER_MS = 1_500;

/** How long an instance gets no requests, by what it answered last. */
const AVOIDANCE_MS: Readonly<Record<HelperFailure, number>> = {
  unreachable: 500,
  cut_off: 1_000,
  not_able: 500,
  stopping: 10_000,
  busy: 250,
  configuration_behind: 250,
};

const log = createLogger("peers");

/** Why an instance can't take requests over at present. */
export type HelperFailure =
  /** It doesn't answer, or can't be connected to. */
  | "unreachable"
  /** It reaches no server of the service either. */
  | "cut_off"
  /** It has found no server for the request. */
  | "not_able"
  | "stopping"
  | "busy"
  | "configuration_behind";

export interface Helper {
  readonly instance: string;
  readonly address: Address;
}

/** A request in progress at another instance. */
export interface HelperUse {
  /** Records that the instance has sent something. */
  heard(): void;
  end(): void;
}

export interface HelperInstances {
  /** Draws an instance that isn't excluded; `null` if there is none. */
  choose(excluded: ReadonlySet<string>): Helper | null;
  /**
   * Counts a request at an instance until its end. `onLost` is called while the
   * instance doesn't answer, until it returns that the request is given up.
   */
  use(helper: Helper, onLost: () => boolean): HelperUse;
  /** Keeps requests away from an instance for a time. */
  recordFailure(instance: string, failure: HelperFailure): void;
  /** Starts to observe whether any other instance answers; see `isIsolated`. */
  watchIsolation(isNeeded: () => boolean): void;
  /** Whether none of the other live instances answers this one. */
  isIsolated(): boolean;
}

export interface HelperInstancesOptions {
  readonly failureDomain: string;
  readonly liveOthers: () => readonly LiveInstance[];
  readonly caller: PeerCaller;
  readonly signal: AbortSignal;
}

interface HelperState {
  readonly lostCallbacks: Set<() => boolean>;
  heardAt: number;
  avoidedUntil: number;
  isWatched: boolean;
}

/** Creates the record of helpers; none is avoided. */
export function createHelperInstances({
  failureDomain,
  liveOthers,
  caller,
  signal,
}: HelperInstancesOptions): HelperInstances {
  const states = new Map<string, HelperState>();
  let lastHeardAt = -Infinity;
  let isWatchingIsolation = false;

  function stateOf(instance: string): HelperState {
    const existing = states.get(instance);
    if (existing) return existing;
    const state: HelperState = {
      lostCallbacks: new Set(),
      heardAt: -Infinity,
      avoidedUntil: -Infinity,
      isWatched: false,
    };
    states.set(instance, state);
    return state;
  }

  /** Helpers from which one is drawn. */
  function candidates(excluded: ReadonlySet<string>): LiveInstance[] {
    const now = performance.now();
    const others = liveOthers().filter(
      ({ peer, takesHandoffs }) => peer !== null && takesHandoffs,
    );
    const usable = others.filter(
      ({ instance }) =>
        !excluded.has(instance) && now >= stateOf(instance).avoidedUntil,
    );
    const reaching = usable.filter(({ reachesEngines }) => reachesEngines);
    const able = reaching.length > 0 ? reaching : usable;
    const isNear = (other: LiveInstance) =>
      other.failureDomain === failureDomain;
    const near = able.filter(isNear);
    // With most of its domain cut off, the few others can't take all requests.
    const domainSize = 1 + others.filter(isNear).length;
    return near.length * 2 >= domainSize ? near : able;
  }

  function recordHeard(state: HelperState): void {
    state.heardAt = performance.now();
    lastHeardAt = state.heardAt;
  }

  /** Resolves to whether the instance answers, `null` if that isn't known. */
  async function ping({ instance, address }: Helper): Promise<boolean | null> {
    const sentAt = performance.now();
    const timeoutMs = PING_TIMEOUT_MS;
    const result = await caller.call(address, PING_METHOD, { timeoutMs });
    if (result.kind === "ok") {
      recordHeard(stateOf(instance));
      return true;
    }
    const tookMs = performance.now() - sentAt;
    return tookMs > timeoutMs + PROCESS_STALL_MS ? null : false;
  }

  /** Pings an instance whose answers in progress are silent. */
  async function watch(helper: Helper, state: HelperState): Promise<void> {
    if (state.isWatched) return;
    state.isWatched = true;
    while (!signal.aborted && state.lostCallbacks.size > 0) {
      await pause(MAX_SILENCE_MS, signal);
      const isSilent = () =>
        performance.now() - state.heardAt >= MAX_SILENCE_MS;
      if (state.lostCallbacks.size === 0 || !isSilent()) continue;
      if ((await ping(helper)) !== false || !isSilent()) continue;
      log.warn("helper_lost", {
        instance: helper.instance,
        requests: state.lostCallbacks.size,
      });
      recordFailure(helper.instance, "unreachable");
      for (const onLost of [...state.lostCallbacks])
        if (onLost()) state.lostCallbacks.delete(onLost);
    }
    state.isWatched = false;
  }

  function recordFailure(instance: string, failure: HelperFailure): void {
    stateOf(instance).avoidedUntil = performance.now() + AVOIDANCE_MS[failure];
  }

  return {
    choose(excluded) {
      const [first, second] = drawTwo(candidates(excluded));
      if (!first?.peer) return null;
      const isSecondLessUsed =
        second !== undefined &&
        stateOf(second.instance).lostCallbacks.size <
          stateOf(first.instance).lostCallbacks.size;
      const { instance, peer } = isSecondLessUsed ? second : first;
      return peer && { instance, address: peer };
    },
    use(helper, onLost) {
      const state = stateOf(helper.instance);
      state.lostCallbacks.add(onLost);
      void watch(helper, state);
      return {
        heard: () => recordHeard(state),
        end: () => void state.lostCallbacks.delete(onLost),
      };
    },
    recordFailure,
    watchIsolation(isNeeded) {
      if (isWatchingIsolation) return;
      isWatchingIsolation = true;
      lastHeardAt = Math.max(lastHeardAt, performance.now());
      void (async () => {
        while (!signal.aborted && isNeeded()) {
          const others = liveOthers();
          const other = others[Math.floor(Math.random() * others.length)];
          if (other?.peer)
            void ping({ instance: other.instance, address: other.peer });
          await pause(ISOLATION_PING_INTERVAL_MS, signal);
        }
        isWatchingIsolation = false;
      })();
    },
    isIsolated: () =>
      isWatchingIsolation &&
      performance.now() - lastHeardAt > ISOLATED_AFTER_MS &&
      liveOthers().length > 0,
  };
}

/** Draws up to two elements at random. */
function drawTwo<Element>(
  elements: readonly Element[],
): [Element | undefined, Element | undefined] {
  const first = Math.floor(Math.random() * elements.length);
  const step = 1 + Math.floor(Math.random() * (elements.length - 1));
  const second = (first + step) % elements.length;
  return [elements[first], second === first ? undefined : elements[second]];
}
