/** Probes that this instance makes in the place of another one. */
import type { Address } from "@rosemarypin/schemas";

/** Requests of more than this many probers at once are dropped. */
const MOST_RELAYS = 256;
const RELAY_TIMEOUT_MS = 1_000;

interface Relay {
  readonly asker: Address;
  /** The asker's own sequence number. */
  readonly sequence: number;
  readonly at: number;
}

/** Creates the table of probes made for others, by own sequence number. */
export function createRelays() {
  const relays = new Map<number, Relay>();

  function dropOld(): void {
    const now = performance.now();
    for (const [key, { at }] of relays) {
      if (now - at > RELAY_TIMEOUT_MS) relays.delete(key);
    }
  }

  return {
    /** Returns whether there was room. */
    add(
      ownSequence: number,
      relay: { readonly asker: Address; readonly sequence: number },
    ): boolean {
      dropOld();
      if (relays.size >= MOST_RELAYS) return false;
      relays.set(ownSequence, { ...relay, at: performance.now() });
      return true;
    },
    take(ownSequence: number): Relay | undefined {
      const relay = relays.get(ownSequence);
      relays.delete(ownSequence);
      return relay;
    },
  };
}
