/** Chooses the instances of a failure domain that relay store changes. */
import type { Address } from "@rosemarypin/schemas";

/** With fewer instances, relays would save no store calls. */
const MIN_INSTANCES_FOR_RELAYS = 4;
const MIN_RELAYS = 2;
/** Instances per relay, including the relay itself. */
const INSTANCES_PER_RELAY = 8;

export interface DomainInstance {
  readonly instance: string;
  /** Address for calls from other instances; `null` if it has none. */
  readonly peer: Address | null;
}

/**
 * Returns the relays that an instance may follow, in order of preference; none
 * if the instance is a relay itself or the domain is small. Relays are the
 * first instances by name, so all instances with the same view choose the same
 * ones. Followers are spread by starting at different relays.
 */
export function chooseRelays(
  ownInstance: string,
  others: readonly DomainInstance[],
): readonly Address[] {
  const instanceCount = others.length + 1;
  if (instanceCount < MIN_INSTANCES_FOR_RELAYS) return [];
  const names = [ownInstance, ...others.map(({ instance }) => instance)].sort();
  const relayCount = Math.max(
    MIN_RELAYS,
    Math.ceil(instanceCount / INSTANCES_PER_RELAY),
  );
  const ownRank = names.indexOf(ownInstance);
  if (ownRank < relayCount) return [];
  const relays = names.slice(0, relayCount).flatMap((name) => {
    const relay = others.find(({ instance }) => instance === name);
    return relay?.peer ?? [];
  });
  const preferredIndex = ownRank % Math.max(1, relays.length);
  return [...relays.slice(preferredIndex), ...relays.slice(0, preferredIndex)];
}
