/**
 * How long this instance may go on with its note: the contact allowance.
 *
 * The contact is the start of a read of the head object, made here or by a
 * peer from which the news came, that showed no note above the one in use.
 * Ages travel as durations and add up along a chain of peers, so no two clocks
 * are compared; only their rates are taken to agree within a bound.
 */
import { elapsedMs, isInOrder, type Moment, momentBefore } from "./moment.ts";

/** Clocks of two machines run at rates no further apart than this share. */
export const LARGEST_RATE_DRIFT = 0.01;

/**
 * An instance that the store does not list yet may have got its note from a
 * single peer that has ended since. It needs a live peer this often, so that
 * the end of that peer is evidence once this time has passed.
 */
export const UNLISTED_ALLOWANCE_MS = 2_000;

export interface Contact {
  /** Takes in a read of the head object that began at `began`. */
  heardFromStore(began: Moment): void;
  /** Takes in what a peer told, `ageMs` old when it was asked at `asked`. */
  heardFromPeer(asked: Moment, ageMs: number): void;
  /** Age of the contact; `null` before the first. */
  ageMs(): number | null;
  /** Whether the note in use may still answer. */
  holds(): boolean;
}

/** Creates a contact that has never been made. */
export function createContact(options: {
  readonly allowanceMs: number;
  /** Since when the store lists this instance; `null` if it does not. */
  readonly listedSince: () => Moment | null;
}): Contact {
  const allowanceMs = options.allowanceMs / (1 + LARGEST_RATE_DRIFT);
  let began: Moment | null = null;
  let peerHeard: Moment | null = null;

  function renew(moment: Moment): void {
    if (began && elapsedMs(began) <= elapsedMs(moment)) return;
    began = moment;
  }

  function isListedOrHeard(): boolean {
    if (options.listedSince()) return true;
    return peerHeard !== null && elapsedMs(peerHeard) < UNLISTED_ALLOWANCE_MS;
  }

  return {
    // A read counts only if the store listed this instance before: whoever
    // records a later note and then reads the list finds the name in it.
    heardFromStore(moment) {
      const since = options.listedSince();
      if (since && isInOrder(since, moment)) renew(moment);
    },
    heardFromPeer(asked, ageMs) {
      peerHeard = asked;
      renew(momentBefore(asked, ageMs * (1 + LARGEST_RATE_DRIFT)));
    },
    ageMs: () => (began ? elapsedMs(began) : null),
    holds() {
      if (!began || !isListedOrHeard()) return false;
      return elapsedMs(began) < allowanceMs;
    },
  };
}
