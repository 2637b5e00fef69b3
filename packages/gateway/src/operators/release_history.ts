/**
 * Tells the configurations that came into force as release notes: what each
 * added, changed and withdrew against the one before.
 */
import type { ShownNote } from "@rosemarypin/schemas";
import type { Configuration, Organisation } from "../configuration.ts";

/** Notes that are kept; older ones stand in the logs only. */
const MOST_NOTES = 32;
/** Lines that are kept of one part of a note. */
const MOST_LINES = 100;

/** A line of a note, such as one route with what changed of it. */
export type NoteLine = ShownNote["note"]["added"][number];

/** One thing of a configuration, as notes tell of it. */
interface Item {
  readonly kind: "route" | "service" | "organisation" | "limits";
  readonly name: string;
  /** What a note tells of it, and by which it counts as changed. */
  readonly facts: Readonly<Record<string, string | number | boolean>>;
}

export interface ReleaseHistory {
  /** Takes in a configuration that has come into force. */
  record(configuration: Configuration): void;
  /** The newest first. */
  notes(): readonly ShownNote[];
  find(number: number): ShownNote | null;
  /** The latest line about a thing, with its place in its note. */
  lineAbout(
    kind: string,
    name: string,
  ): { readonly number: number; readonly line: string } | null;
}

/** Creates the history of one instance. */
export function createReleaseHistory(instance: string): ReleaseHistory {
  let notes: readonly ShownNote[] = [];
  let last: ReadonlyMap<string, Item> = new Map();

  return {
    record(configuration) {
      const items = itemsOf(configuration);
      const note = compare(last, items);
      const supersedes = notes[0]?.number ?? 0;
      last = items;
      const record: ShownNote = {
        number: configuration.version,
        recordedAt: Date.now(),
        recordedBy: instance,
        note: { supersedes, reason: "written to the store", ...note },
      };
      notes = [record, ...notes].slice(0, MOST_NOTES);
    },
    notes: () => notes,
    find: (number) => notes.find((note) => note.number === number) ?? null,
    lineAbout(kind, name) {
      for (const { number, note } of notes) {
        for (const part of ["added", "changed", "withdrawn"] as const) {
          const at = note[part].findIndex(
            (line) => line.kind === kind && line.name === name,
          );
          if (at >= 0) return { number, line: `${part}[${at}]` };
        }
      }
      return null;
    },
  };
}

function compare(
  before: ReadonlyMap<string, Item>,
  after: ReadonlyMap<string, Item>,
): Pick<ShownNote["note"], "added" | "changed" | "withdrawn"> {
  const added: NoteLine[] = [];
  const changed: NoteLine[] = [];
  const withdrawn: NoteLine[] = [];
  for (const [key, item] of after) {
    const old = before.get(key);
    if (!old) added.push(lineOf(item, item.facts));
    else {
      const changes = changesOf(old, item);
      if (Object.keys(changes).length > 0) changed.push(lineOf(item, changes));
    }
  }
  for (const [key, item] of before) {
    if (!after.has(key)) withdrawn.push(lineOf(item, {}));
  }
  return {
    added: bounded(added),
    changed: bounded(changed),
    withdrawn: bounded(withdrawn),
  };
}

function lineOf({ kind, name }: Item, facts: Item["facts"]): NoteLine {
  return { kind, name, ...facts };
}

/** Facts that differ, as `before -> after`. */
function changesOf(old: Item, item: Item): Record<string, string> {
  const changes: Record<string, string> = {};
  for (const [fact, value] of Object.entries(item.facts)) {
    const before = old.facts[fact];
    if (before !== value) changes[fact] = `${before} -> ${value}`;
  }
  return changes;
}

function bounded(lines: readonly NoteLine[]): NoteLine[] {
  const left = lines.length - MOST_LINES;
  if (left <= 0) return [...lines];
  return [...lines.slice(0, MOST_LINES), { kind: "more", lines: left }];
}

function itemsOf(configuration: Configuration): ReadonlyMap<string, Item> {
  const { routes, services, limits, organisations } = configuration;
  const items: Item[] = [
    ...routes.map((route) => ({
      kind: "route" as const,
      name: route.name,
      facts: {
        host: route.host,
        path: route.pathPrefix,
        services: route.shares
          .map(({ service, weight }) => `${service}:${weight}`)
          .join(","),
        handling: route.kind,
        timeoutMs: route.timeoutMs,
        maxAttempts: route.maxAttempts,
        priority: route.priority,
        public: route.isPublic,
      },
    })),
    ...[...services.values()].map(({ name, engine }) => ({
      kind: "service" as const,
      name,
      facts: { model: engine?.model.name ?? "none" },
    })),
    ...organisationItems(organisations),
    { kind: "limits", name: "callers", facts: { ...limits } },
  ];
  return new Map(items.map((item) => [`${item.kind} ${item.name}`, item]));
}

/** Keys are secrets: a note tells how many an organisation has. */
function organisationItems(
  organisations: ReadonlyMap<string, Organisation> | null,
): Item[] {
  const keys = new Map<string, { count: number; priority: number | null }>();
  for (const { name, priority } of organisations?.values() ?? []) {
    const known = keys.get(name);
    if (known) known.count += 1;
    else keys.set(name, { count: 1, priority });
  }
  return [...keys].map(([name, { count, priority }]) => ({
    kind: "organisation" as const,
    name,
    facts: { keys: count, priority: priority ?? "of the route" },
  }));
}
