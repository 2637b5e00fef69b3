/** Arithmetic on the demand of classes. */
import type {
  ClassDemand,
  Demand,
  DemandByClass,
} from "@rosemarypin/admission";

const NO_DEMAND: ClassDemand = { arrivingPerSecond: 0, waiting: 0, held: 0 };

/**
 * Change of what waits or is held of one class that peers learn of at once, as a
 * share of all that waits or is held of the service.
 */
const SIGNIFICANT_CHANGE_SHARE = 0.15;

/** Sums the demand by class and multiplies it by `scale`. */
export function sumClasses(
  parts: readonly DemandByClass[],
  scale = 1,
): DemandByClass {
  const sums = new Map<number, ClassDemand>();
  for (const part of parts) {
    for (const [priority, demand] of part) {
      const sum = sums.get(priority) ?? NO_DEMAND;
      sums.set(priority, {
        arrivingPerSecond:
          sum.arrivingPerSecond + demand.arrivingPerSecond * scale,
        waiting: sum.waiting + demand.waiting * scale,
        held: sum.held + demand.held * scale,
      });
    }
  }
  return sums;
}

/** Whether peers should learn of the difference at once. */
export function hasSignificantDemandChange(
  current: Demand,
  previous: Demand,
): boolean {
  return [...new Set([...current.keys(), ...previous.keys()])].some((service) =>
    haveClassesChanged(current.get(service), previous.get(service)),
  );
}

function haveClassesChanged(
  current: DemandByClass = new Map(),
  previous: DemandByClass = new Map(),
): boolean {
  const most = Math.max(totalOf(current), totalOf(previous));
  const classes = new Set([...current.keys(), ...previous.keys()]);
  return [...classes].some((priority) => {
    const now = current.get(priority) ?? NO_DEMAND;
    const before = previous.get(priority) ?? NO_DEMAND;
    const change = Math.max(
      Math.abs(now.waiting - before.waiting),
      Math.abs(now.held - before.held),
    );
    // Where the first request of a class waits, all instances limit the less
    // urgent classes.
    const beginsToWait = now.waiting > 0 && before.waiting === 0;
    return beginsToWait || change > SIGNIFICANT_CHANGE_SHARE * most;
  });
}

function totalOf(classes: DemandByClass): number {
  return [...classes.values()].reduce(
    (sum, { waiting, held }) => sum + waiting + held,
    0,
  );
}
