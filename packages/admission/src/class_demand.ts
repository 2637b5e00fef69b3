/** Demand of the requests of one priority class, as far as it is known. */

/** Costs are in tokens, summed over the instances that share the engines. */
export interface ClassDemand {
  readonly arrivingPerSecond: number;
  readonly waiting: number;
  readonly held: number;
}

/** By priority; 0 is the most urgent. */
export type DemandByClass = ReadonlyMap<number, ClassDemand>;

/** By service. */
export type Demand = ReadonlyMap<string, DemandByClass>;

/** Receives the changes of demand that an instance observes itself. */
export interface DemandRecorder {
  arrived(service: string, priority: number, cost: number): void;
  waitingChanged(service: string, priority: number, difference: number): void;
  heldChanged(service: string, priority: number, difference: number): void;
}

/** Least urgent class; the reports of instances count classes 0 to this one. */
export const LEAST_URGENT_CLASS = 15;

/**
 * Class of a priority. Priorities are any numbers in the configuration; those
 * outside the classes count as the nearest one.
 */
export function classOf(priority: number): number {
  return Math.min(LEAST_URGENT_CLASS, Math.max(0, Math.round(priority)));
}
