/** Chooses the instances of a failure domain through which others follow. */
import type { Address } from "@rosemarypin/schemas";

/** Below this, following through others saves the store nothing. */
const FEWEST_INSTANCES = 4;
const FEWEST_RELAYS = 2;
/** Instances for each relay, itself included. */
const INSTANCES_PER_RELAY = 8;

export interface DomainInstance {
  readonly instance: string;
  /** `null` where it can't be reached. */
  readonly peer: Address | null;
}

/**
 * The relays that an instance may follow, each beginning with another one, so
 * that followers are spread; none for a relay. All instances choose the same
 * ones, as far as they know of the same instances.
 */
export function chooseRelays(
  own: string,
  others: readonly DomainInstance[],
): readonly Address[] {
  const count = others.length + 1;
  if (count < FEWEST_INSTANCES) return [];
  const names = [own, ...others.map(({ instance }) => instance)].sort();
  const relayCount = Math.max(
    FEWEST_RELAYS,
    Math.ceil(count / INSTANCES_PER_RELAY),
  );
  const rank = names.indexOf(own);
  if (rank < relayCount) return [];
  const relays = names.slice(0, relayCount).flatMap((name) => {
    const relay = others.find(({ instance }) => instance === name);
    return relay?.peer ?? [];
  });
  const from = rank % Math.max(1, relays.length);
  return [...relays.slice(from), ...relays.slice(0, from)];
}
