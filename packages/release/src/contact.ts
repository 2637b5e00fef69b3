/**
 * Tracks the last contact, which limits how long this instance may serve from
 * its note: until the contact allowance has elapsed.
 *
 * The time of a contact is the start of a read of the head object that showed
 * no note above the one in use. The read was made by this instance or by a
 * peer that passed it on. Its age is sent as a duration and adds up along a
 * chain of peers, so clocks of two machines are never compared. Only their
 * rates must agree, within `MAX_CLOCK_DRIFT`.
 */
import { elapsedMs, isInOrder, type Moment, momentBefore } from "./moment.ts";

/** Maximum relative difference between the clock rates of two machines. */
export const MAX_CLOCK_DRIFT = 0.01;

/**
 * An instance that the store does not list yet may serve only this long after
 * its last request that a peer answered. That peer may be the only process that
 * can name it, so once the peer has been stopped for longer than this, the
 * unlisted instance no longer serves either.
 */
export const UNLISTED_ALLOWANCE_MS = 2_000;

export interface Contact {
  /** Records a read of the head object that started at `startedAt`. */
  recordStoreRead(startedAt: Moment): void;
  /** Records a peer's contact of age `ageMs`, requested at `requestedAt`. */
  recordPeerContact(requestedAt: Moment, ageMs: number): void;
  /** Age of the last contact; `null` before the first one. */
  ageMs(): number | null;
  /** Whether the note in use may still be served from. */
  isValid(): boolean;
}

/** Creates a tracker that has recorded no contact yet. */
export function createContact(options: {
  readonly allowanceMs: number;
  /** When the store listed this instance; `null` if it does not. */
  readonly listedSince: () => Moment | null;
}): Contact {
  const allowanceMs = options.allowanceMs / (1 + MAX_CLOCK_DRIFT);
  let contactAt: Moment | null = null;
  let lastPeerRequestAt: Moment | null = null;

  function renew(candidate: Moment): void {
    if (contactAt && elapsedMs(contactAt) <= elapsedMs(candidate)) return;
    contactAt = candidate;
  }

  function isListedOrHasRecentPeer(): boolean {
    if (options.listedSince()) return true;
    return (
      lastPeerRequestAt !== null &&
      elapsedMs(lastPeerRequestAt) < UNLISTED_ALLOWANCE_MS
    );
  }

  return {
    // A read counts only if the store listed this instance before the read
    // started. A publisher that records a later note and then reads the list
    // therefore finds this instance in it.
    recordStoreRead(startedAt) {
      const since = options.listedSince();
      if (since && isInOrder(since, startedAt)) renew(startedAt);
    },
    recordPeerContact(requestedAt, ageMs) {
      lastPeerRequestAt = requestedAt;
      renew(momentBefore(requestedAt, ageMs * (1 + MAX_CLOCK_DRIFT)));
    },
    ageMs: () => (contactAt ? elapsedMs(contactAt) : null),
    isValid() {
      if (!contactAt || !isListedOrHasRecentPeer()) return false;
      return elapsedMs(contactAt) < allowanceMs;
    },
  };
}
