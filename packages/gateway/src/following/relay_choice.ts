/** Chooses the instances of a failure domain that relay store changes. */
import type { Address } from "@rosemarypin/schemas";

/** With fewer instances, relays would save no store calls. */
export const MIN_INSTANCES_FOR_RELAYS = 4;
/** One more than is needed, so that followers can change over at once. */
const MIN_RELAYS = 2;
/** Instances of a domain that the minimum of relays serves. */
const INSTANCES_OF_MIN_RELAYS = 80;
/** Each of these further instances adds a relay. */
const INSTANCES_PER_FURTHER_RELAY = 40;

/** Name, address and ability of an instance, by which relays are chosen. */
export interface DomainInstance {
  readonly instance: string;
  /** Address for calls from other instances; `null` if it has none. */
  readonly peer: Address | null;
  /** Relative processor share, 0 to 1,000; absent if it is unknown. */
  readonly ability?: number;
}

export interface RelayChoice {
  /** Whether this instance is a relay itself. */
  readonly isRelay: boolean;
  /**
   * Relays that this instance may follow, in order of preference; none if it is
   * a relay or the domain is small.
   */
  readonly relays: readonly Address[];
}

export interface RelayChoiceOptions {
  readonly own: Omit<DomainInstance, "peer">;
  readonly others: readonly DomainInstance[];
  /** Whether an instance has failed as a relay of this one lately. */
  readonly isPassedOver?: (relay: Address) => boolean;
}

/**
 * Chooses the ablest instances, and among equals the first by name, so that all
 * instances with the same view choose the same ones. An instance of unknown
 * ability comes last. Followers are spread by starting at different relays.
 *
 * The next instances of the order stand in for relays that are passed over. If
 * as many of those have failed as well, there is none to follow: an instance
 * that is cut off itself must not try its whole domain.
 */
export function chooseRelays({
  own,
  others,
  isPassedOver = () => false,
}: RelayChoiceOptions): RelayChoice {
  const instanceCount = others.length + 1;
  if (instanceCount < MIN_INSTANCES_FOR_RELAYS)
    return { isRelay: false, relays: [] };
  const order = [{ ...own, peer: null }, ...others].sort(compareInstances);
  const ownRank = order.findIndex(({ instance }) => instance === own.instance);
  const relayCount = countRelays(instanceCount);
  const isUsable = ({ peer }: DomainInstance) => !peer || !isPassedOver(peer);
  const chosen = order.slice(0, 2 * relayCount).filter(isUsable);
  const relays = chosen.slice(0, relayCount);
  if (relays.some(({ instance }) => instance === own.instance))
    return { isRelay: true, relays: [] };
  const isRegular = (relay: DomainInstance) =>
    order.indexOf(relay) < relayCount;
  // Substitutes come last: they may not know yet that they are relays.
  return {
    isRelay: false,
    relays: [
      ...rotate(addressesOf(relays.filter(isRegular)), ownRank),
      ...rotate(
        addressesOf(relays.filter((relay) => !isRegular(relay))),
        ownRank,
      ),
    ],
  };
}

function countRelays(instanceCount: number): number {
  const further = Math.max(0, instanceCount - INSTANCES_OF_MIN_RELAYS);
  return MIN_RELAYS + Math.ceil(further / INSTANCES_PER_FURTHER_RELAY);
}

function compareInstances(a: DomainInstance, b: DomainInstance): number {
  const difference = (b.ability ?? -1) - (a.ability ?? -1);
  if (difference !== 0) return difference;
  return a.instance < b.instance ? -1 : 1;
}

function addressesOf(instances: readonly DomainInstance[]): Address[] {
  return instances.flatMap(({ peer }) => peer ?? []);
}

function rotate<T>(items: readonly T[], by: number): T[] {
  const first = by % Math.max(1, items.length);
  return [...items.slice(first), ...items.slice(0, first)];
}
