/** Keeps the load limits of other failure domains' engines current. */
import type { DemandByClass } from "@rosemarypin/admission";
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendFleet } from "../backends/mod.ts";
import type { Service } from "../configuration.ts";
import { domainCapacities } from "./domain_capacity.ts";
import {
  createDomainFlow,
  DEFAULT_DOMAIN_LIMIT,
  type DomainFlow,
  type DomainState,
} from "./domain_flow.ts";

/** Arrivals of this time count as need, since they take capacity soon. */
const ARRIVALS_MS = 250;
/** Reports of other domains arrive a few times a second. */
const DECISION_INTERVAL_MS = 100;
/** Interval at which engines that recovered by themselves count again. */
const CAPACITY_INTERVAL_MS = 2_000;
const MIN_LOGGED_CHANGE = 0.1;
const MIN_LOG_INTERVAL_MS = 1_000;

const log = createLogger("streams");

/** Demand of all instances of a failure domain, by class. */
export interface DomainDemand {
  /** `null` if the failure domain's demand isn't known. */
  ofDomain(service: string, failureDomain: string): DemandByClass | null;
}

/** Limit and need of a failure domain, for operators. */
export interface DomainReading {
  /** Lowest limit over all services; `null` for the own failure domain. */
  readonly loadLimit: number | null;
  /** Sum over the services whose need is known; `null` if none is. */
  readonly needTokens: number | null;
}

export interface DomainLoadLimits {
  /**
   * Load limit of a failure domain's engines; `null` if this instance decides
   * none, so that the constant applies.
   */
  limitOf(service: Service, failureDomain: string): number | null;
  /** Readings of the last decisions, by failure domain. */
  readings(): ReadonlyMap<string, DomainReading>;
}

interface ServiceFlow {
  readonly flow: DomainFlow;
  readonly loggedLimits: Map<string, { limit: number; at: number }>;
  capacities: ReadonlyMap<string, number>;
  capacitiesAt: number;
  states: readonly DomainState[];
  decidedAt: number;
}

export function createDomainLoadLimits(options: {
  readonly fleet: BackendFleet;
  readonly failureDomain: string;
  readonly demand: DomainDemand;
}): DomainLoadLimits {
  const { fleet, failureDomain: own, demand } = options;
  const flows = new Map<string, ServiceFlow>();
  fleet.onChanged(forgetCapacities);
  fleet.onCondition(forgetCapacities);

  function forgetCapacities(): void {
    for (const state of flows.values())
      state.capacitiesAt = Number.NEGATIVE_INFINITY;
  }

  function flowOf(service: string): ServiceFlow {
    const known = flows.get(service);
    if (known) return known;
    const created: ServiceFlow = {
      flow: createDomainFlow(own),
      loggedLimits: new Map(),
      capacities: new Map(),
      capacitiesAt: Number.NEGATIVE_INFINITY,
      states: [],
      decidedAt: Number.NEGATIVE_INFINITY,
    };
    flows.set(service, created);
    return created;
  }

  function decide({ name, engine }: Service, state: ServiceFlow): void {
    const now = performance.now();
    if (!engine || now - state.decidedAt < DECISION_INTERVAL_MS) return;
    state.decidedAt = now;
    if (now - state.capacitiesAt >= CAPACITY_INTERVAL_MS) {
      const usable = fleet.ofService(name).filter(fleet.isUsable);
      state.capacities = domainCapacities(usable, engine);
      state.capacitiesAt = now;
    }
    state.states = Array.from(state.capacities, ([domain, capacity]) => ({
      failureDomain: domain,
      capacity,
      need: needOf(demand.ofDomain(name, domain)),
    }));
    state.flow.update(state.states);
    logChanges(state, now);
  }

  function logChanges(state: ServiceFlow, now: number): void {
    const limits = state.flow.limits();
    for (const { failureDomain, need, capacity } of state.states) {
      const limit = limits.get(failureDomain);
      if (limit === undefined) continue;
      const last = state.loggedLimits.get(failureDomain);
      const change = Math.abs(limit - (last?.limit ?? DEFAULT_DOMAIN_LIMIT));
      const isSoon = last !== undefined && now - last.at < MIN_LOG_INTERVAL_MS;
      // Sums of small rises are a little less than the whole.
      if (change < MIN_LOGGED_CHANGE - 1e-9 || isSoon) continue;
      state.loggedLimits.set(failureDomain, { limit, at: now });
      log.info("domain_flow", {
        domain: failureDomain,
        load_limit: limit.toFixed(2),
        need: need?.toFixed(0),
        capacity: capacity.toFixed(0),
      });
    }
  }

  return {
    limitOf(service, failureDomain) {
      const state = flowOf(service.name);
      decide(service, state);
      return state.flow.limits().get(failureDomain) ?? null;
    },
    readings() {
      const readings = new Map<string, DomainReading>();
      for (const { states, flow } of flows.values()) {
        for (const { failureDomain, need } of states) {
          const last = readings.get(failureDomain);
          const limit = flow.limits().get(failureDomain) ?? null;
          const known = last?.loadLimit ?? limit;
          const needs = last?.needTokens ?? null;
          readings.set(failureDomain, {
            loadLimit:
              limit === null || known === null ? limit : Math.min(limit, known),
            needTokens: need === null ? needs : (needs ?? 0) + need,
          });
        }
      }
      return readings;
    },
  };
}

/** Tokens that the callers of a failure domain need now or in a moment. */
function needOf(demand: DemandByClass | null): number | null {
  if (!demand) return null;
  let need = 0;
  for (const { held, waiting, arrivingPerSecond } of demand.values())
    need += held + waiting + (arrivingPerSecond * ARRIVALS_MS) / 1_000;
  return need;
}
