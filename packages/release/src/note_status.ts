/** Puts together how far a note has come. */
import type {
  NoteConfirmation,
  NotePhase,
  NoteStatus,
} from "@rosemarypin/schemas";

export type InstanceLine = NoteStatus["instances"][number];
export type EngineLine = NoteStatus["engines"][number];

/** An engine that can answer, with its failure domain. */
export interface EngineName {
  readonly id: string;
  readonly failureDomain: string;
}

/** One line for each engine, from what the instances that order them say. */
export function describeEngines(
  number: number,
  options: {
    readonly confirmations: readonly NoteConfirmation[];
    readonly engines: readonly EngineName[];
  },
): readonly EngineLine[] {
  const heard = new Map<string, { confirmed: number; stopped: boolean }>();
  for (const confirmation of options.confirmations) {
    for (const { engine, confirmed, stopped } of confirmation.engines) {
      const earlier = heard.get(engine)?.confirmed ?? -1;
      if (confirmed > earlier) heard.set(engine, { confirmed, stopped });
    }
  }
  return options.engines.map(({ id, failureDomain }) => {
    const line = heard.get(id);
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

/** Accepted: no instance can answer otherwise. In force: engines as well. */
export function phaseOf(
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
