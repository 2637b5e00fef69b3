/** Probes that this instance makes on behalf of others. */
import type { Address } from "@rosemarypin/schemas";

/** Limit of relayed probes in flight; further requests are dropped. */
const MAX_RELAYS = 256;
const RELAY_TIMEOUT_MS = 1_000;

interface Relay {
  readonly requester: Address;
  /** Sequence number that the requester gave the probe. */
  readonly sequence: number;
  readonly startedAt: number;
}

/** Creates the table of relayed probes, by this instance's sequence number. */
export function createRelays() {
  const relays = new Map<number, Relay>();

  function dropExpired(): void {
    const now = performance.now();
    for (const [key, { startedAt }] of relays) {
      if (now - startedAt > RELAY_TIMEOUT_MS) relays.delete(key);
    }
  }

  return {
    /** Adds a relayed probe; returns `false` if the limit is reached. */
    add(
      ownSequence: number,
      relay: { readonly requester: Address; readonly sequence: number },
    ): boolean {
      dropExpired();
      if (relays.size >= MAX_RELAYS) return false;
      relays.set(ownSequence, { ...relay, startedAt: performance.now() });
      return true;
    },
    /** Removes and returns the relayed probe. */
    take(ownSequence: number): Relay | undefined {
      const relay = relays.get(ownSequence);
      relays.delete(ownSequence);
      return relay;
    },
  };
}
