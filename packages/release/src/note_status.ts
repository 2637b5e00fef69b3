/** Summarises how far a note has been applied. */

import type {
  NoteConfirmation,
  NotePhase,
  NoteStatus,
} from "@rosemarypin/schemas";

export type InstanceLine = NoteStatus["instances"][number];
export type EngineLine = NoteStatus["engines"][number];

/** An engine that can answer requests, with its failure domain. */
export interface EngineReference {
  readonly id: string;
  readonly failureDomain: string;
}

/**
 * Describes each engine by the confirmation with the highest note number that
 * an instance ordering it reported.
 */
export function describeEngines(
  number: number,
  options: {
    readonly confirmations: readonly NoteConfirmation[];
    readonly engines: readonly EngineReference[];
  },
): readonly EngineLine[] {
  const latestByEngine = new Map<
    string,
    { confirmed: number; stopped: boolean }
  >();
  for (const confirmation of options.confirmations) {
    for (const { engine, confirmed, stopped } of confirmation.engines) {
      const earlier = latestByEngine.get(engine)?.confirmed ?? -1;
      if (confirmed > earlier)
        latestByEngine.set(engine, { confirmed, stopped });
    }
  }
  return options.engines.map(({ id, failureDomain }) => {
    const line = latestByEngine.get(id);
    if (!line) {
      const detail = "no instance orders it now";
      return { id, failureDomain, state: "unheard" as const, detail };
    }
    if (line.confirmed < number) {
      const detail = `confirmed note ${line.confirmed}`;
      return { id, failureDomain, state: "behind" as const, detail };
    }
    const detail = line.stopped ? "nothing listens at its address" : "";
    return { id, failureDomain, state: "confirmed" as const, detail };
  });
}

/**
 * Computes the phase of a note. It is accepted once every instance has
 * confirmed it or stopped, and in force once every engine has confirmed too.
 */
export function computePhase(
  instances: readonly InstanceLine[],
  engines: readonly EngineLine[],
): NotePhase {
  const accepted = instances.every(
    ({ state }) => state === "confirmed" || state === "stopped",
  );
  if (!accepted) return "recorded";
  const inForce = engines.every(({ state }) => state === "confirmed");
  return inForce ? "in_force" : "accepted";
}
