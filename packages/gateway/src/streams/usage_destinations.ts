/** Chooses the peers to which this instance reports its engine usage. */
import type { Address } from "@rosemarypin/schemas";
import type { LiveInstance } from "../following/mod.ts";

/**
 * Up to this number of peers, each receives the reports. With more, the byte
 * budget would make the reports to each peer so infrequent that most of them
 * would be outdated.
 */
const MAX_PEERS_FOR_FULL_MESH = 20;

export interface UsageDestinations {
  /** Peers that receive the usage of this instance alone. */
  readonly ownUsage: readonly Address[];
  /** Peers that receive the usage of this instance's failure domain. */
  readonly domainUsage: readonly Address[];
}

/**
 * Returns all peers as receivers of this instance's usage when they are few,
 * otherwise those in its failure domain. The others then receive the sum over
 * the domain: the usage of one sampled instance wouldn't represent the rest of
 * the domain, and full engines on which it has no answers would look free.
 */
export function chooseUsageDestinations(
  failureDomain: string,
  livePeers: readonly LiveInstance[],
): UsageDestinations {
  const isFullMesh = livePeers.length <= MAX_PEERS_FOR_FULL_MESH;
  const isNear = (peer: LiveInstance) =>
    isFullMesh || peer.failureDomain === failureDomain;
  return {
    ownUsage: addressesOf(livePeers.filter(isNear)),
    domainUsage: addressesOf(livePeers.filter((peer) => !isNear(peer))),
  };
}

function addressesOf(peers: readonly LiveInstance[]): Address[] {
  return peers.flatMap(({ peer }) => peer ?? []);
}
