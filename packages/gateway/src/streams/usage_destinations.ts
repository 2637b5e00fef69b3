/** Chooses the peers to which this instance reports its engine usage. */
import type { Address } from "@rosemarypin/schemas";
import type { LiveInstance } from "../following/mod.ts";

/**
 * Up to this number of peers, each receives the reports. With more, the byte
 * budget would make the reports to each peer so infrequent that most of them
 * would be outdated.
 */
const MAX_PEERS_FOR_FULL_MESH = 20;

/**
 * Returns the addresses of all peers when they are few, otherwise of those in
 * this instance's failure domain, whose answers use the same engines. One
 * sampled peer of another domain wouldn't represent the rest of it: full
 * engines on which that peer has no answers would look free.
 */
export function chooseUsageDestinations(
  failureDomain: string,
  livePeers: readonly LiveInstance[],
): Address[] {
  const destinations =
    livePeers.length <= MAX_PEERS_FOR_FULL_MESH
      ? livePeers
      : livePeers.filter((peer) => peer.failureDomain === failureDomain);
  return destinations.flatMap(({ peer }) => peer ?? []);
}
