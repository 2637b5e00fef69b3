/**
 * Decides which instances renew their contact from the store and which from
 * peers. If 340 instances read the store, the head object, which holds the whole
 * catalogue, would be read 340 times a second. A few readers in each failure
 * domain are enough.
 */

import type { Membership } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";

const READERS_PER_DOMAIN = 2;

/** Whether this instance reads the store for its failure domain. */
export function isReader(membership: Membership): boolean {
  return rankInDomain(membership) < READERS_PER_DOMAIN;
}

/** Counts the live peers in the same failure domain with a lower id. */
export function rankInDomain(membership: Membership): number {
  const { id } = membership.self();
  return livePeersInSameDomain(membership).filter((peer) => peer.record.id < id)
    .length;
}

/** Chooses the readers of the same domain and a random remote instance. */
export function choosePeersToQuery(membership: Membership): readonly Address[] {
  const { failureDomain } = membership.self();
  const localReaders = livePeersInSameDomain(membership)
    .sort((a, b) => (a.record.id < b.record.id ? -1 : 1))
    .slice(0, READERS_PER_DOMAIN);
  const remotePeers = membership.peers().filter(({ state, record }) => {
    return state !== "left" && record.failureDomain !== failureDomain;
  });
  const remotePeer =
    remotePeers[Math.floor(Math.random() * remotePeers.length)];
  const chosen = remotePeer ? [...localReaders, remotePeer] : localReaders;
  return chosen.map(({ record }) => record.peer);
}

function livePeersInSameDomain(membership: Membership) {
  const { failureDomain } = membership.self();
  return membership
    .peers()
    .filter(
      ({ state, record }) =>
        state === "alive" && record.failureDomain === failureDomain,
    );
}
