/** Finds out, by name, who applies a note and who may still not. */
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import type {
  InstanceReference,
  NoteConfirmation,
  NoteStatus,
  RegistryEntry,
} from "@rosemarypin/schemas";
import { askToConfirm, type Confirmer } from "./confirmations.ts";
import { createEvidence } from "./evidence.ts";
import { digestOf, nameOf } from "./known_instances.ts";
import { type Moment, readMoment } from "./moment.ts";
import type { NoteKeeper } from "./note_keeper.ts";
import {
  describeEngines,
  type EngineName,
  type InstanceLine,
  phaseOf,
} from "./note_status.ts";

/** Notes whose confirmations are remembered. */
const REMEMBERED_NOTES = 4;
export interface StatusCollectorOptions {
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly keeper: NoteKeeper;
  readonly confirmer: Confirmer;
  /** Every engine that can answer. */
  readonly engines: () => readonly EngineName[];
  /** The store's list of instances; `null` if it cannot be read. */
  readonly readRegistry: () => Promise<readonly RegistryEntry[] | null>;
  /** Longest allowance of an instance with these settings. */
  readonly allowanceMs: number;
  readonly refusedConnectionShowsEnd: boolean;
}

export interface StatusCollector {
  status(number: number): Promise<NoteStatus>;
}

/** What was found out about one note. */
interface Findings {
  /** When this instance first knew that the note is recorded. */
  readonly recordedBefore: Moment;
  /** Read after the note was recorded; `null` until that worked. */
  registry: readonly RegistryEntry[] | null;
  /** Confirmations of the note, by the name of the process. */
  readonly confirmed: Map<string, NoteConfirmation>;
  /**
   * Every process that was named since: a name that membership forgets, or
   * that comes up between two questions, must not be left out.
   */
  readonly named: Map<string, InstanceReference>;
  /** Whether somebody ordered each engine when it was last asked for. */
  enginesHeard: boolean;
}

/** Creates the collector of one instance. */
export function createStatusCollector(
  options: StatusCollectorOptions,
): StatusCollector {
  const { keeper, confirmer, membership } = options;
  const findings = new Map<number, Findings>();
  const evidence = createEvidence(options);
  const note = keeper.applied();
  if (note) findingsOf(note.number);
  // The clock of the slow path starts when this instance learns of the note:
  // it was recorded before that.
  keeper.onChange((record) => findingsOf(record.number));

  function findingsOf(number: number): Findings {
    const known = findings.get(number);
    if (known) return known;
    const fresh: Findings = {
      recordedBefore: readMoment(),
      registry: null,
      confirmed: new Map(),
      named: new Map(),
      enginesHeard: false,
    };
    findings.set(number, fresh);
    const oldest = Math.min(...findings.keys());
    if (findings.size > REMEMBERED_NOTES) findings.delete(oldest);
    return fresh;
  }

  async function status(number: number): Promise<NoteStatus> {
    if (!isKnown(number)) await keeper.refresh();
    // Nothing that is found out before a note is recorded counts for it.
    if (!isKnown(number)) return notKnown(number);
    const found = findingsOf(number);
    found.registry ??= await options.readRegistry();
    const own = confirmer.confirm();
    const lines = [describe(own, number)];
    const confirmations = [own];
    const self = nameOf(membership.self());
    const asked = new Set([self]);
    // The digest stands for exactly the names that are asked below.
    const known = confirmer.known();
    const knownDigest = digestOf(known);
    let pending = firstNames(found, known);
    // Each answer may name instances that nobody named before: the closure
    // of all names is what has to confirm.
    while (pending.length > 0) {
      for (const instance of pending) {
        asked.add(nameOf(instance));
        found.named.set(nameOf(instance), instance);
      }
      const answers = await Promise.all(
        pending.map((instance) =>
          ask(instance, { number, found, knownDigest }),
        ),
      );
      lines.push(...answers.map(({ line }) => line));
      const heard = answers.flatMap(({ confirmation }) => confirmation ?? []);
      confirmations.push(...heard);
      pending = unique(heard.flatMap(({ knows }) => knows ?? [])).filter(
        (instance) => !asked.has(nameOf(instance)),
      );
    }
    if (found.registry === null) lines.push(unreadRegistry());
    const engines = describeEngines(number, {
      confirmations,
      engines: options.engines(),
    });
    found.enginesHeard = engines.every(({ state }) => state !== "unheard");
    const phase = phaseOf(lines, engines);
    return { number, phase, instances: lines, engines: [...engines] };
  }

  function isKnown(number: number): boolean {
    return (keeper.applied()?.number ?? 0) >= number;
  }

  function notKnown(number: number): NoteStatus {
    const own = describe(confirmer.confirm(), number);
    const engines = options.engines();
    return {
      number,
      phase: "recorded",
      instances: [own],
      engines: [...describeEngines(number, { confirmations: [], engines })],
    };
  }

  function firstNames(
    found: Findings,
    known: readonly InstanceReference[],
  ): readonly InstanceReference[] {
    const self = nameOf(membership.self());
    const members = membership.peers().map(({ record }) => record);
    const registry = found.registry ?? [];
    const names = [...found.named.values(), ...members, ...known, ...registry];
    return unique(names).filter((instance) => nameOf(instance) !== self);
  }

  async function ask(
    instance: InstanceReference,
    context: {
      readonly number: number;
      readonly found: Findings;
      readonly knownDigest: string;
    },
  ): Promise<{ line: InstanceLine; confirmation?: NoteConfirmation }> {
    const { number, found, knownDigest } = context;
    const name = nameOf(instance);
    const earlier = found.confirmed.get(name);
    // A confirmation holds for good. Who orders engines changes, so those who
    // do are asked again, and all are while some engine has nobody.
    if (earlier?.engines.length === 0 && found.enginesHeard) {
      return { line: describe(earlier, number), confirmation: earlier };
    }
    const goodbye = evidence.goodbye(instance);
    if (goodbye) return { line: goodbye };
    const answer = await askToConfirm(instance, {
      peers: options.peers,
      request: { knownDigest },
    });
    if (answer.kind === "confirmed") {
      const { confirmation } = answer;
      if (confirmation.applied >= number) {
        found.confirmed.set(name, confirmation);
      }
      return { line: describe(confirmation, number), confirmation };
    }
    if (earlier) return { line: describe(earlier, number) };
    return { line: evidence.judge(instance, { answer, ...found }) };
  }

  return { status };
}

function describe(
  confirmation: NoteConfirmation,
  number: number,
): InstanceLine {
  const { instance, failureDomain, applied } = confirmation;
  const done = applied >= number;
  return {
    id: instance,
    failureDomain,
    state: done ? "confirmed" : "behind",
    applied,
    detail: done ? "" : `applies note ${applied}`,
  };
}

/** Without the store's list, an instance unknown to all might answer. */
function unreadRegistry(): InstanceLine {
  return {
    id: "unlisted",
    failureDomain: "unknown",
    state: "unheard",
    applied: 0,
    detail: "the store's list of instances has not been read since the note",
  };
}

function unique(
  instances: readonly InstanceReference[],
): readonly InstanceReference[] {
  const named = new Map<string, InstanceReference>();
  for (const instance of instances) named.set(nameOf(instance), instance);
  return [...named.values()];
}
