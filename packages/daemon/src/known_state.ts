/** Small questions about what one instance knows of the others. */
import type { EngineFleet } from "@rosemarypin/backends";
import type { Membership } from "@rosemarypin/membership";
import type { CandidateMember } from "@rosemarypin/placement";

/**
 * Whether some engine of each role has answered. An engine without roles may
 * hold any layers, so each of those counts for itself.
 */
export function hasHeardEachRole(fleet: EngineFleet): boolean {
  const known = fleet.engines();
  const roleOf = ({ settings: { id, roles } }: (typeof known)[number]) =>
    roles.length > 0 ? JSON.stringify(roles) : id;
  const heard = new Set(known.filter(({ usable }) => usable).map(roleOf));
  return known.every((engine) => heard.has(roleOf(engine)));
}

/** Whether calls succeed to each engine that this instance uses. */
export function listUsable(fleet: EngineFleet): ReadonlyMap<string, boolean> {
  return new Map(
    fleet.engines().map(({ settings, usable }) => [settings.id, usable]),
  );
}

/** The highest note that an engine says it was ordered under. */
export function highestNoteOf(fleet: EngineFleet): number {
  const numbers = fleet.engines().map(({ state }) => state?.noteNumber ?? 0);
  return Math.max(0, ...numbers);
}

/** Who may try for a control lease: this instance and its live peers. */
export function listCandidates(
  membership: Membership,
): readonly CandidateMember[] {
  const { id, failureDomain } = membership.self();
  const others = membership.peers().map(({ record, state }) => ({
    id: record.id,
    failureDomain: record.failureDomain,
    isAlive: state === "alive" && !record.shared.draining,
  }));
  return [{ id, failureDomain, isAlive: true }, ...others];
}
