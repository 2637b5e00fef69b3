/** Asks every instance by name whether it applies a note. */

import type { Member, Membership, PeerCaller } from "@rosemarypin/membership";
import {
  type NoteConfirmation,
  type NotePhase,
  type NoteStatus,
  noteConfirmationSchema,
} from "@rosemarypin/schemas";

type InstanceLine = NoteStatus["instances"][number];
type EngineLine = NoteStatus["engines"][number];

export interface ConfirmationsOptions {
  readonly membership: Membership;
  readonly peers: PeerCaller;
  /** What this instance itself confirms. */
  readonly own: () => NoteConfirmation;
  /** Every engine that can answer, with its failure domain. */
  readonly engines: () => readonly {
    readonly id: string;
    readonly failureDomain: string;
  }[];
}

/** Collects who has confirmed note `number`, and who has not, by name. */
export async function collectStatus(
  number: number,
  options: ConfirmationsOptions,
): Promise<NoteStatus> {
  const own = options.own();
  const members = options.membership.peers();
  const answers = await Promise.all(
    members.map((member) => askMember(member, number, options.peers)),
  );
  const confirmations = [
    own,
    ...answers.flatMap(({ confirmation }) => confirmation ?? []),
  ];
  const instances = [
    describe(own, number),
    ...answers.map(({ line }) => line),
    ...missingNames(confirmations),
  ];
  const engines = describeEngines(number, confirmations, options.engines());
  return { number, phase: phaseOf(instances, engines), instances, engines };
}

async function askMember(
  member: Member,
  number: number,
  peers: PeerCaller,
): Promise<{ line: InstanceLine; confirmation?: NoteConfirmation }> {
  const { record } = member;
  const base = {
    id: record.id,
    failureDomain: record.failureDomain,
    applied: record.shared.note,
  };
  if (record.left) {
    return { line: { ...base, state: "stopped", detail: "said goodbye" } };
  }
  const result = await peers.call(record.peer, "note.confirm");
  if (result.kind === "ok") {
    const parsed = noteConfirmationSchema.safeParse(result.value);
    if (parsed.success) {
      return {
        line: describe(parsed.data, number),
        confirmation: parsed.data,
      };
    }
  }
  // A refused connection shows that the process behind the address has
  // ended, so it cannot answer from an old note. Silence shows nothing.
  if (result.kind === "refused") {
    const detail = "nothing listens at its address";
    return { line: { ...base, state: "stopped", detail } };
  }
  const detail = `no answer (${result.kind})`;
  return { line: { ...base, state: "unheard", detail } };
}

function describe(
  confirmation: NoteConfirmation,
  number: number,
): InstanceLine {
  const done =
    confirmation.applied >= number && confirmation.withdrawnRunning === 0;
  return {
    id: confirmation.instance,
    failureDomain: confirmation.failureDomain,
    state: done ? "confirmed" : "behind",
    applied: confirmation.applied,
    detail: done
      ? ""
      : `applies note ${confirmation.applied}, ${confirmation.withdrawnRunning} withdrawn answers still run`,
  };
}

/** Names that a peer knows and this instance does not. */
function missingNames(
  confirmations: readonly NoteConfirmation[],
): InstanceLine[] {
  const heard = new Set(confirmations.map(({ instance }) => instance));
  const known = new Set(
    confirmations[0]?.knows.map(({ id }) => id).concat([...heard]),
  );
  const missing = confirmations
    .flatMap(({ knows }) => knows)
    .filter(({ id, left }) => !left && !known.has(id));
  const names = [...new Set(missing.map(({ id }) => id))];
  return names.map((id) => ({
    id,
    failureDomain: "unknown",
    state: "unheard" as const,
    applied: 0,
    detail: "known to a peer only",
  }));
}

function describeEngines(
  number: number,
  confirmations: readonly NoteConfirmation[],
  engines: readonly { readonly id: string; readonly failureDomain: string }[],
): EngineLine[] {
  const confirmed = new Map<string, number>();
  for (const { engine, confirmed: at } of confirmations.flatMap(
    (confirmation) => confirmation.engines,
  )) {
    confirmed.set(engine, Math.max(at, confirmed.get(engine) ?? 0));
  }
  return engines.map(({ id, failureDomain }) => {
    const at = confirmed.get(id);
    if (at === undefined) {
      const detail = "no instance orders it now";
      return { id, failureDomain, state: "unheard" as const, detail };
    }
    const done = at >= number;
    return {
      id,
      failureDomain,
      state: done ? ("confirmed" as const) : ("behind" as const),
      detail: done ? "" : `confirmed note ${at}`,
    };
  });
}

/** Accepted: no instance can answer otherwise. In force: engines as well. */
function phaseOf(
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
