/** The instances that this one knows, and a short digest of them. */
import { createHash } from "node:crypto";
import type { Membership } from "@rosemarypin/membership";
import {
  formatAddress,
  type InstanceReference,
  type MemberRecord,
} from "@rosemarypin/schemas";

const DIGEST_LENGTH = 16;

/**
 * All instances that may still answer as far as this one knows: itself, the
 * members that did not say goodbye, and those that asked it for the note.
 */
export function listKnown(
  membership: Membership,
  options: { readonly askers: readonly InstanceReference[] },
): readonly InstanceReference[] {
  const members = [
    membership.self(),
    ...membership.peers().map(({ record }) => record),
  ];
  const left = new Set(members.filter((record) => record.left).map(nameOf));
  const known = new Map<string, InstanceReference>();
  for (const member of [...options.askers, ...members]) {
    const name = nameOf(member);
    if (!left.has(name)) known.set(name, toReference(member));
  }
  return [...known.values()];
}

/** Equal for equal sets, so that a list is sent only where it differs. */
export function digestOf(known: readonly InstanceReference[]): string {
  const names = known.map(nameOf).sort();
  const hash = createHash("sha256").update(names.join(" "));
  return hash.digest("hex").slice(0, DIGEST_LENGTH);
}

/** Names one process: a restart or another address makes another. */
export function nameOf(instance: InstanceReference): string {
  const address = formatAddress(instance.peer);
  return `${instance.id}@${address}/${instance.incarnation}`;
}

function toReference(
  member: InstanceReference | MemberRecord,
): InstanceReference {
  const { id, failureDomain, incarnation, peer } = member;
  return { id, failureDomain, incarnation, peer };
}
