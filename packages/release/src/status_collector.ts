/** Finds out, by name, who applies a note and who may still not. */
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import type {
  InstanceReference,
  NoteConfirmation,
  NoteStatus,
  RegistryEntry,
} from "@rosemarypin/schemas";
import { askToConfirm, type Confirmer } from "./confirmations.ts";
import { LARGEST_RATE_DRIFT, UNLISTED_ALLOWANCE_MS } from "./contact.ts";
import { digestOf, nameOf } from "./known_instances.ts";
import { elapsedMs, type Moment, readMoment } from "./moment.ts";
import type { NoteKeeper } from "./note_keeper.ts";
import {
  describeEngines,
  type EngineName,
  type InstanceLine,
  phaseOf,
} from "./note_status.ts";

/** Notes whose confirmations are remembered. */
const REMEMBERED_NOTES = 4;
/** Ended processes remembered; forgetting one only costs a little waiting. */
const LARGEST_ENDED = 1_000;
/**
 * After this long the end of a process also shows the end of every instance
 * that lived on its word alone.
 */
const END_IS_EVIDENCE_AFTER_MS =
  UNLISTED_ALLOWANCE_MS * (1 + LARGEST_RATE_DRIFT) ** 2;

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

/** What was found out about one note; none of it can become untrue. */
interface Findings {
  /** When this instance first knew that the note is recorded. */
  readonly recordedBefore: Moment;
  /** Read after the note was recorded; `null` until that worked. */
  registry: readonly RegistryEntry[] | null;
  /** Confirmations of the note, by the name of the process. */
  readonly confirmed: Map<string, NoteConfirmation>;
  /** Whether somebody ordered each engine when it was last asked for. */
  enginesHeard: boolean;
}

/** Creates the collector of one instance. */
export function createStatusCollector(
  options: StatusCollectorOptions,
): StatusCollector {
  const { keeper, confirmer, membership } = options;
  const findings = new Map<number, Findings>();
  /** When a process was first seen to have ended. */
  const endedAt = new Map<string, Moment>();
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
    const asked = new Set([nameOf(membership.self())]);
    let pending = firstNames(found);
    // Each answer may name instances that nobody named before: the closure
    // of all names is what has to confirm.
    while (pending.length > 0) {
      for (const instance of pending) asked.add(nameOf(instance));
      const answers = await Promise.all(
        pending.map((instance) => ask(instance, { number, found })),
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

  function firstNames(found: Findings): readonly InstanceReference[] {
    const self = nameOf(membership.self());
    const members = membership.peers().map(({ record }) => record);
    const names = unique([
      ...members,
      ...confirmer.known(),
      ...(found.registry ?? []),
    ]);
    return names.filter((instance) => nameOf(instance) !== self);
  }

  async function ask(
    instance: InstanceReference,
    context: { readonly number: number; readonly found: Findings },
  ): Promise<{ line: InstanceLine; confirmation?: NoteConfirmation }> {
    const { number, found } = context;
    const name = nameOf(instance);
    const earlier = found.confirmed.get(name);
    // A confirmation holds for good. Who orders engines changes, so those who
    // do are asked again, and all are while some engine has nobody.
    if (earlier?.engines.length === 0 && found.enginesHeard) {
      return { line: describe(earlier, number), confirmation: earlier };
    }
    const goodbyeAgoMs = goodbyeAge(instance);
    if (goodbyeAgoMs !== null) {
      const detail = "said goodbye";
      return { line: ended(instance, { detail, agoMs: goodbyeAgoMs }) };
    }
    const knownDigest = digestOf(confirmer.known());
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
    if (answer.kind === "replaced") {
      return { line: foundEnded(instance, "its address has another process") };
    }
    if (answer.kind === "refused" && options.refusedConnectionShowsEnd) {
      return { line: foundEnded(instance, "nothing listens at its address") };
    }
    const detail = answer.kind === "unheard" ? answer.detail : answer.kind;
    return { line: silent(instance, { detail, found }) };
  }

  function goodbyeAge({ id, incarnation }: InstanceReference): number | null {
    const member = membership.peers().find(({ record }) => record.id === id);
    if (!member?.record.left) return null;
    if (member.record.incarnation !== incarnation) return null;
    return performance.now() - member.heardAt;
  }

  function foundEnded(
    instance: InstanceReference,
    detail: string,
  ): InstanceLine {
    const name = nameOf(instance);
    const since = endedAt.get(name) ?? readMoment();
    if (endedAt.size > LARGEST_ENDED) endedAt.clear();
    endedAt.set(name, since);
    return ended(instance, { detail, agoMs: elapsedMs(since) });
  }

  /** A process that has ended answers nothing; those it told may, a while. */
  function ended(
    instance: InstanceReference,
    end: { readonly detail: string; readonly agoMs: number },
  ): InstanceLine {
    const isEvidence = end.agoMs >= END_IS_EVIDENCE_AFTER_MS;
    return {
      ...lineOf(instance),
      state: isEvidence ? "stopped" : "unheard",
      detail: isEvidence
        ? end.detail
        : `${end.detail}; what lived on its word alone ends within 3 s`,
    };
  }

  /** Silence excuses nobody until the allowance has surely lapsed. */
  function silent(
    instance: InstanceReference,
    context: { readonly detail: string; readonly found: Findings },
  ): InstanceLine {
    const { found } = context;
    const allowances = (found.registry ?? []).map((entry) => entry.allowanceMs);
    const longestMs = Math.max(options.allowanceMs, ...allowances);
    const waitMs = longestMs * (1 + LARGEST_RATE_DRIFT);
    const leftMs = waitMs - elapsedMs(found.recordedBefore);
    if (leftMs <= 0) {
      const detail = "silent for longer than it may serve without contact";
      return { ...lineOf(instance), state: "stopped", detail };
    }
    const seconds = Math.ceil(leftMs / 1_000);
    const detail = `no answer (${context.detail}); may serve for ${seconds} s more at most`;
    return { ...lineOf(instance), state: "unheard", detail };
  }

  function lineOf(instance: InstanceReference) {
    const { id, failureDomain } = instance;
    const member = membership.peers().find(({ record }) => record.id === id);
    return { id, failureDomain, applied: member?.record.shared.note ?? 0 };
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
  const named = instances.map((instance) => [nameOf(instance), instance]);
  return [...new Map(named as [string, InstanceReference][]).values()];
}
