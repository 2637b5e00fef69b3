/** Lists the instances known to this one and computes a digest of the list. */
import { createHash } from "node:crypto";
import type { Membership } from "@rosemarypin/membership";
import {
  formatAddress,
  type InstanceReference,
  type MemberRecord,
} from "@rosemarypin/schemas";

const DIGEST_LENGTH = 16;

/**
 * Lists all instances that may still serve, as far as this one knows: itself,
 * the members that have not left, and those that requested the note from it.
 */
export function listKnownInstances(
  membership: Membership,
  options: { readonly requesters: readonly InstanceReference[] },
): readonly InstanceReference[] {
  const members = [
    membership.self(),
    ...membership.peers().map(({ record }) => record),
  ];
  const left = new Set(
    members.filter((record) => record.left).map(processNameOf),
  );
  const instancesByName = new Map<string, InstanceReference>();
  for (const member of [...options.requesters, ...members]) {
    const name = processNameOf(member);
    if (!left.has(name)) instancesByName.set(name, toReference(member));
  }
  return [...instancesByName.values()];
}

/** Computes a digest of a set of instances, independent of their order. */
export function digestInstances(
  instances: readonly InstanceReference[],
): string {
  const names = instances.map(processNameOf).sort();
  const hash = createHash("sha256").update(names.join(" "));
  return hash.digest("hex").slice(0, DIGEST_LENGTH);
}

/** Identifies a process; a restart or a change of address changes the name. */
export function processNameOf(instance: InstanceReference): string {
  const address = formatAddress(instance.peer);
  return `${instance.id}@${address}/${instance.incarnation}`;
}

function toReference(
  member: InstanceReference | MemberRecord,
): InstanceReference {
  const { id, failureDomain, incarnation, peer } = member;
  return { id, failureDomain, incarnation, peer };
}
