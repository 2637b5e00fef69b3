/** Collects which instances apply a note and which may still not. */
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import type {
  InstanceReference,
  NoteConfirmation,
  NoteStatus,
  RegistryEntry,
} from "@rosemarypin/schemas";
import { type Confirmer, requestConfirmation } from "./confirmations.ts";
import { createInstanceLiveness } from "./instance_liveness.ts";
import { digestInstances, processNameOf } from "./known_instances.ts";
import { type Moment, readMoment } from "./moment.ts";
import type { NoteKeeper } from "./note_keeper.ts";
import {
  computePhase,
  describeEngines,
  type EngineReference,
  type InstanceLine,
} from "./note_status.ts";

/** Number of notes whose confirmations are kept. */
const MAX_REMEMBERED_NOTES = 4;

export interface StatusCollectorOptions {
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly keeper: NoteKeeper;
  readonly confirmer: Confirmer;
  /** All engines that can answer requests. */
  readonly engines: () => readonly EngineReference[];
  /** The store's list of instances; `null` if it cannot be read. */
  readonly readRegistry: () => Promise<readonly RegistryEntry[] | null>;
  /** The contact allowance that this instance is configured with. */
  readonly allowanceMs: number;
  /** Whether a refused connection proves that a process has ended. */
  readonly refusedConnectionShowsEnd: boolean;
}

export interface StatusCollector {
  /** Collects the status of a note from all instances that are known. */
  status(number: number): Promise<NoteStatus>;
}

/** What has been collected about one note. */
interface NoteProgress {
  /** When the collector learned of the note; it was recorded before that. */
  readonly learnedAt: Moment;
  /** The list read after the note was recorded; `null` until that succeeds. */
  registry: readonly RegistryEntry[] | null;
  /** Confirmations of the note, by the name of the process. */
  readonly confirmed: Map<string, NoteConfirmation>;
  /**
   * All processes named since the note was learned, by name. They must still
   * confirm if the membership drops them between two calls of `status`.
   */
  readonly processes: Map<string, InstanceReference>;
  /** Whether every engine had an instance ordering it at the last call. */
  areAllEnginesReported: boolean;
}

/** Creates the collector of one instance. */
export function createStatusCollector(
  options: StatusCollectorOptions,
): StatusCollector {
  const { keeper, confirmer, membership } = options;
  const progressByNote = new Map<number, NoteProgress>();
  const liveness = createInstanceLiveness(options);
  const note = keeper.applied();
  if (note) progressOf(note.number);
  // Sets `learnedAt` as soon as this instance learns of a note. An instance
  // that does not answer counts as stopped one allowance after that time.
  keeper.onChange((record) => progressOf(record.number));

  function progressOf(number: number): NoteProgress {
    const existing = progressByNote.get(number);
    if (existing) return existing;
    const created: NoteProgress = {
      learnedAt: readMoment(),
      registry: null,
      confirmed: new Map(),
      processes: new Map(),
      areAllEnginesReported: false,
    };
    progressByNote.set(number, created);
    const oldest = Math.min(...progressByNote.keys());
    if (progressByNote.size > MAX_REMEMBERED_NOTES)
      progressByNote.delete(oldest);
    return created;
  }

  async function status(number: number): Promise<NoteStatus> {
    if (!hasLearned(number)) await keeper.refresh();
    // Answers collected before the note is recorded do not count for it.
    if (!hasLearned(number)) return describeUnlearnedNote(number);
    const progress = progressOf(number);
    progress.registry ??= await options.readRegistry();
    const ownConfirmation = confirmer.confirm();
    const lines = [toInstanceLine(ownConfirmation, number)];
    const confirmations = [ownConfirmation];
    const self = processNameOf(membership.self());
    const queried = new Set([self]);
    // A peer with the same digest omits its list, so every instance behind the
    // digest must be queried below.
    const knownInstances = confirmer.knownInstances();
    const knownDigest = digestInstances(knownInstances);
    let pending = listInitialProcesses(progress, knownInstances);
    // An answer may name further instances. All that are reachable through
    // such lists have to confirm.
    while (pending.length > 0) {
      for (const instance of pending) {
        queried.add(processNameOf(instance));
        progress.processes.set(processNameOf(instance), instance);
      }
      const answers = await Promise.all(
        pending.map((instance) =>
          collectFrom(instance, { number, progress, knownDigest }),
        ),
      );
      lines.push(...answers.map(({ line }) => line));
      const received = answers.flatMap(
        ({ confirmation }) => confirmation ?? [],
      );
      confirmations.push(...received);
      pending = unique(received.flatMap(({ knows }) => knows ?? [])).filter(
        (instance) => !queried.has(processNameOf(instance)),
      );
    }
    if (progress.registry === null) lines.push(unreadRegistryLine());
    const engines = describeEngines(number, {
      confirmations,
      engines: options.engines(),
    });
    progress.areAllEnginesReported = engines.every(
      ({ state }) => state !== "unheard",
    );
    const phase = computePhase(lines, engines);
    return { number, phase, instances: lines, engines: [...engines] };
  }

  function hasLearned(number: number): boolean {
    return (keeper.applied()?.number ?? 0) >= number;
  }

  function describeUnlearnedNote(number: number): NoteStatus {
    const ownLine = toInstanceLine(confirmer.confirm(), number);
    const engines = options.engines();
    return {
      number,
      phase: "recorded",
      instances: [ownLine],
      engines: [...describeEngines(number, { confirmations: [], engines })],
    };
  }

  function listInitialProcesses(
    progress: NoteProgress,
    knownInstances: readonly InstanceReference[],
  ): readonly InstanceReference[] {
    const self = processNameOf(membership.self());
    const members = membership.peers().map(({ record }) => record);
    const registry = progress.registry ?? [];
    const names = [
      ...progress.processes.values(),
      ...members,
      ...knownInstances,
      ...registry,
    ];
    return unique(names).filter((instance) => processNameOf(instance) !== self);
  }

  async function collectFrom(
    instance: InstanceReference,
    context: {
      readonly number: number;
      readonly progress: NoteProgress;
      readonly knownDigest: string;
    },
  ): Promise<{ line: InstanceLine; confirmation?: NoteConfirmation }> {
    const { number, progress, knownDigest } = context;
    const name = processNameOf(instance);
    const earlier = progress.confirmed.get(name);
    // A confirmation stays valid, but the instances that order engines change.
    // Those with engines are queried each time, and so are all others while
    // any engine has no instance ordering it.
    if (earlier?.engines.length === 0 && progress.areAllEnginesReported) {
      return { line: toInstanceLine(earlier, number), confirmation: earlier };
    }
    const leftLine = liveness.describeLeft(instance);
    if (leftLine) return { line: leftLine };
    const answer = await requestConfirmation(instance, {
      peers: options.peers,
      request: { knownDigest },
    });
    if (answer.kind === "confirmed") {
      const { confirmation } = answer;
      if (confirmation.applied >= number) {
        progress.confirmed.set(name, confirmation);
      }
      return { line: toInstanceLine(confirmation, number), confirmation };
    }
    if (earlier) return { line: toInstanceLine(earlier, number) };
    return {
      line: liveness.describeUnconfirmed(instance, { answer, ...progress }),
    };
  }

  return { status };
}

function toInstanceLine(
  confirmation: NoteConfirmation,
  number: number,
): InstanceLine {
  const { instance, failureDomain, applied } = confirmation;
  const isConfirmed = applied >= number;
  return {
    id: instance,
    failureDomain,
    state: isConfirmed ? "confirmed" : "behind",
    applied,
    detail: isConfirmed ? "" : `applies note ${applied}`,
  };
}

/**
 * Stands for instances that no reachable one can name: without the store's
 * list they cannot be excluded.
 */
function unreadRegistryLine(): InstanceLine {
  return {
    id: "unlisted",
    failureDomain: "unknown",
    state: "unheard",
    applied: 0,
    detail:
      "the store's list of instances has not been read since the note was recorded",
  };
}

function unique(
  instances: readonly InstanceReference[],
): readonly InstanceReference[] {
  const byProcessName = new Map<string, InstanceReference>();
  for (const instance of instances)
    byProcessName.set(processNameOf(instance), instance);
  return [...byProcessName.values()];
}
