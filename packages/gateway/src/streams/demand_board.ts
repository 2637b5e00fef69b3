/**
 * Demand by class of a model's requests, in each failure domain, for uneven
 * demand and too little capacity: what this instance observes itself, and what
 * others report.
 */
import {
  type ClassDemand,
  classOf,
  type Demand,
  type DemandByClass,
  type DemandRecorder,
} from "@rosemarypin/admission";
import { type ArrivalRate, createArrivalRate } from "./arrival_rate.ts";
import { sumClasses } from "./demand_sums.ts";
import { DOMAIN_LOADS_VALID_MS, PEER_LOADS_VALID_MS } from "./engine_usage.ts";

/** Demand under which a class counts as idle, in tokens. */
const MIN_TOKENS = 0.5;

/** Whether demand has changed at this instance or by a report. */
export type DemandChange = "own" | "reported";

export interface DemandBoard extends DemandRecorder {
  /** Replaces the demand that a peer reported before. */
  recordPeer(instance: string, demand: Demand): void;
  /** Replaces the demand that was reported for a failure domain before. */
  recordDomain(failureDomain: string, demand: Demand): void;
  /** This instance's own demand, for its reports. */
  own(): Demand;
  /**
   * Demand of this failure domain: the sum of this instance's own and of that
   * reported by peers in it, scaled up to `instanceCount` instances.
   */
  ownDomain(instanceCount: number): Demand;
  /**
   * Demand of all instances, for class levels. Failure domains whose demand is
   * not known are assumed to have as much for each instance as the others: with
   * many instances, the sums of a domain arrive some seconds apart. Without any
   * valid report it is what this instance observes itself.
   */
  total(service: string): DemandByClass;
  /** `null` where the failure domain's demand is not known. */
  ofDomain(service: string, failureDomain: string): DemandByClass | null;
  /** Registers a callback for changes and reports. */
  onChanged(callback: (change: DemandChange) => void): void;
}

export interface DemandBoardOptions {
  readonly failureDomain: string;
  /** Other instances that are live. */
  readonly liveOthers: () => readonly {
    readonly instance: string;
    readonly failureDomain: string;
  }[];
}

interface OwnClass {
  readonly arrivals: ArrivalRate;
  waiting: number;
  held: number;
}

interface ReceivedDemand {
  readonly demand: Demand;
  readonly receivedAt: number;
}

/** What is known of one failure domain from its instances' own reports. */
interface DomainReports {
  /** Instances in the domain, whether they have reported or not. */
  instanceCount: number;
  readonly reports: Demand[];
}

const NO_CLASSES: DemandByClass = new Map();

/** Creates a board without demand. */
export function createDemandBoard(options: DemandBoardOptions): DemandBoard {
  const ownClasses = new Map<string, Map<number, OwnClass>>();
  const demandByPeer = new Map<string, ReceivedDemand>();
  const demandByDomain = new Map<string, ReceivedDemand>();
  const callbacks: ((change: DemandChange) => void)[] = [];

  function change(
    service: string,
    priority: number,
    apply: (own: OwnClass) => void,
  ): void {
    const classes = ownClasses.get(service) ?? new Map<number, OwnClass>();
    ownClasses.set(service, classes);
    const number = classOf(priority);
    const own = classes.get(number) ?? createOwnClass();
    classes.set(number, own);
    apply(own);
    notify("own");
  }

  function notify(kind: DemandChange): void {
    for (const callback of callbacks) callback(kind);
  }

  /** Returns this instance's demand, and forgets idle classes. */
  function own(): Demand {
    const demand = new Map<string, DemandByClass>();
    for (const [service, classes] of ownClasses) {
      const byClass = new Map<number, ClassDemand>();
      for (const [priority, { arrivals, waiting, held }] of classes) {
        const arrivingPerSecond = arrivals.perSecond();
        if (Math.max(arrivingPerSecond, waiting, held) < MIN_TOKENS)
          classes.delete(priority);
        else byClass.set(priority, { arrivingPerSecond, waiting, held });
      }
      if (byClass.size === 0) ownClasses.delete(service);
      else demand.set(service, byClass);
    }
    return demand;
  }

  /**
   * Groups valid reports by failure domain. A peer that isn't in the list of
   * live instances yet counts to this instance's domain: only in deployments of
   * few instances, peers of other domains report too.
   */
  function groupReports(): Map<string, DomainReports> {
    const { failureDomain } = options;
    const domains = new Map<string, DomainReports>();
    domains.set(failureDomain, { instanceCount: 1, reports: [own()] });
    const domainByPeer = new Map<string, string>();
    for (const other of options.liveOthers()) {
      domainByPeer.set(other.instance, other.failureDomain);
      domainOf(other.failureDomain).instanceCount += 1;
    }
    removeExpired(demandByPeer, PEER_LOADS_VALID_MS);
    for (const [instance, { demand }] of demandByPeer) {
      const domain = domainByPeer.get(instance) ?? failureDomain;
      domainOf(domain).reports.push(demand);
    }
    return domains;

    function domainOf(name: string): DomainReports {
      const known = domains.get(name) ?? { instanceCount: 0, reports: [] };
      domains.set(name, known);
      return known;
    }
  }

  /** Sums valid of other failure domains, as far as there are any. */
  function validSums(): ReadonlyMap<string, ReceivedDemand> {
    removeExpired(demandByDomain, DOMAIN_LOADS_VALID_MS);
    return demandByDomain;
  }

  return {
    arrived(service, priority, cost) {
      change(service, priority, ({ arrivals }) => arrivals.add(cost));
    },
    waitingChanged(service, priority, difference) {
      change(service, priority, (own) => {
        own.waiting = Math.max(0, own.waiting + difference);
      });
    },
    heldChanged(service, priority, difference) {
      change(service, priority, (own) => {
        own.held = Math.max(0, own.held + difference);
      });
    },
    recordPeer(instance, demand) {
      demandByPeer.set(instance, { demand, receivedAt: performance.now() });
      notify("reported");
    },
    recordDomain(failureDomain, demand) {
      // The instances of this domain know it better by their own reports.
      if (failureDomain === options.failureDomain) return;
      const receivedAt = performance.now();
      demandByDomain.set(failureDomain, { demand, receivedAt });
      notify("reported");
    },
    own,
    ownDomain(instanceCount) {
      const { reports } = groupReports().get(options.failureDomain) ?? {
        reports: [],
      };
      const domain = { instanceCount, reports };
      const services = new Set(reports.flatMap((report) => [...report.keys()]));
      return new Map(
        [...services].map((service) => [service, sumReports(domain, service)]),
      );
    },
    total(service) {
      const sums = validSums();
      const domains = groupReports();
      const isAlone = sums.size === 0 && demandByPeer.size === 0;
      if (isAlone) return own().get(service) ?? NO_CLASSES;
      const known: DemandByClass[] = [...sums.values()].map(
        ({ demand }) => demand.get(service) ?? NO_CLASSES,
      );
      let instanceCount = 0;
      let knownCount = 0;
      for (const [failureDomain, domain] of domains) {
        const hasSum = sums.has(failureDomain);
        const hasReports = domain.reports.length > 0;
        instanceCount += domain.instanceCount;
        if (hasSum || hasReports) knownCount += domain.instanceCount;
        if (!hasSum && hasReports) known.push(sumReports(domain, service));
      }
      return sumClasses(known, instanceCount / knownCount);
    },
    ofDomain(service, failureDomain) {
      const sum = validSums().get(failureDomain);
      if (sum) return sum.demand.get(service) ?? NO_CLASSES;
      const reports = groupReports().get(failureDomain);
      const isKnown = reports !== undefined && reports.reports.length > 0;
      return isKnown ? sumReports(reports, service) : null;
    },
    onChanged(callback) {
      callbacks.push(callback);
    },
  };
}

function createOwnClass(): OwnClass {
  return { arrivals: createArrivalRate(), waiting: 0, held: 0 };
}

/** Sums reports, and scales them up for instances that have not reported. */
function sumReports(
  { instanceCount, reports }: DomainReports,
  service: string,
): DemandByClass {
  const scale = Math.max(1, instanceCount / Math.max(1, reports.length));
  const classes = reports.map((report) => report.get(service) ?? NO_CLASSES);
  return sumClasses(classes, scale);
}

function removeExpired(
  received: Map<string, ReceivedDemand>,
  validMs: number,
): void {
  const now = performance.now();
  for (const [sender, { receivedAt }] of received)
    if (now - receivedAt >= validMs) received.delete(sender);
}
