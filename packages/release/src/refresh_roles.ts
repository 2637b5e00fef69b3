/**
 * Who renews its contact from the store and who from peers. With 340 readers
 * the head object, which holds the whole catalogue, would be read 340 times a
 * second; a few readers in each failure domain are enough.
 */
import type { Membership } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";

const READERS_PER_DOMAIN = 2;

/** Whether this instance is among the first of its failure domain. */
export function isReader(membership: Membership): boolean {
  return rankInDomain(membership) < READERS_PER_DOMAIN;
}

/** How many live instances of the own failure domain come before this one. */
export function rankInDomain(membership: Membership): number {
  const { id } = membership.self();
  return liveInOwnDomain(membership).filter((other) => other.record.id < id)
    .length;
}

/** Readers of the own domain, and one instance of any other. */
export function choosePeersToAsk(membership: Membership): readonly Address[] {
  const { failureDomain } = membership.self();
  const near = liveInOwnDomain(membership)
    .sort((a, b) => (a.record.id < b.record.id ? -1 : 1))
    .slice(0, READERS_PER_DOMAIN);
  const others = membership.peers().filter(({ state, record }) => {
    return state !== "left" && record.failureDomain !== failureDomain;
  });
  const far = others[Math.floor(Math.random() * others.length)];
  const chosen = far ? [...near, far] : near;
  return chosen.map(({ record }) => record.peer);
}

function liveInOwnDomain(membership: Membership) {
  const { failureDomain } = membership.self();
  return membership
    .peers()
    .filter(
      ({ state, record }) =>
        state === "alive" && record.failureDomain === failureDomain,
    );
}
