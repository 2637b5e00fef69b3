/**
 * History of applied configurations as release notes: what each one added,
 * changed and withdrew compared with its predecessor.
 */
import type { DisplayedNote } from "@rosemarypin/schemas";
import type { Configuration, Organisation } from "../configuration.ts";

/** Notes that are kept in memory; older ones are only in the logs. */
const MAX_NOTES = 32;
/** Lines that are kept of each part (added, changed, withdrawn) of a note. */
const MAX_LINES_PER_PART = 100;

/** A line of a note, such as a route with its changed attributes. */
export type NoteLine = DisplayedNote["note"]["added"][number];

/** A part of a configuration that notes describe. */
interface ConfigurationItem {
  readonly kind: "route" | "service" | "organisation" | "limits";
  readonly name: string;
  /** Attributes that a note shows; a difference in one counts as a change. */
  readonly attributes: Readonly<Record<string, string | number | boolean>>;
}

export interface ReleaseHistory {
  /** Adds a note for a configuration that has come into force. */
  record(configuration: Configuration): void;
  /** All kept notes, newest first. */
  notes(): readonly DisplayedNote[];
  find(number: number): DisplayedNote | null;
  /**
   * The latest line about an item, as the number of its note and its position
   * there, such as `changed[2]`.
   */
  latestLine(
    kind: string,
    name: string,
  ): { readonly number: number; readonly line: string } | null;
}

/** Creates the history of one instance. */
export function createReleaseHistory(instance: string): ReleaseHistory {
  let notes: readonly DisplayedNote[] = [];
  let lastItems: ReadonlyMap<string, ConfigurationItem> = new Map();

  return {
    record(configuration) {
      const items = itemsOf(configuration);
      const note = compareItems(lastItems, items);
      const supersedes = notes[0]?.number ?? 0;
      lastItems = items;
      const record: DisplayedNote = {
        number: configuration.version,
        recordedAt: Date.now(),
        recordedBy: instance,
        note: { supersedes, reason: "written to the store", ...note },
      };
      notes = [record, ...notes].slice(0, MAX_NOTES);
    },
    notes: () => notes,
    find: (number) => notes.find((note) => note.number === number) ?? null,
    latestLine(kind, name) {
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

function compareItems(
  before: ReadonlyMap<string, ConfigurationItem>,
  after: ReadonlyMap<string, ConfigurationItem>,
): Pick<DisplayedNote["note"], "added" | "changed" | "withdrawn"> {
  const added: NoteLine[] = [];
  const changed: NoteLine[] = [];
  const withdrawn: NoteLine[] = [];
  for (const [key, item] of after) {
    const previous = before.get(key);
    if (!previous) added.push(lineOf(item, item.attributes));
    else {
      const changes = changesOf(previous, item);
      if (Object.keys(changes).length > 0) changed.push(lineOf(item, changes));
    }
  }
  for (const [key, item] of before) {
    if (!after.has(key)) withdrawn.push(lineOf(item, {}));
  }
  return {
    added: truncateLines(added),
    changed: truncateLines(changed),
    withdrawn: truncateLines(withdrawn),
  };
}

function lineOf(
  { kind, name }: ConfigurationItem,
  attributes: ConfigurationItem["attributes"],
): NoteLine {
  return { kind, name, ...attributes };
}

/** Attributes that differ, each as `before -> after`. */
function changesOf(
  previous: ConfigurationItem,
  item: ConfigurationItem,
): Record<string, string> {
  const changes: Record<string, string> = {};
  for (const [attribute, value] of Object.entries(item.attributes)) {
    const before = previous.attributes[attribute];
    if (before !== value) changes[attribute] = `${before} -> ${value}`;
  }
  return changes;
}

function truncateLines(lines: readonly NoteLine[]): NoteLine[] {
  const omittedCount = lines.length - MAX_LINES_PER_PART;
  if (omittedCount <= 0) return [...lines];
  return [
    ...lines.slice(0, MAX_LINES_PER_PART),
    { kind: "more", lines: omittedCount },
  ];
}

function itemsOf(
  configuration: Configuration,
): ReadonlyMap<string, ConfigurationItem> {
  const { routes, services, limits, organisations } = configuration;
  const items: ConfigurationItem[] = [
    ...routes.map((route) => ({
      kind: "route" as const,
      name: route.name,
      attributes: {
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
      attributes: { model: engine?.model.name ?? "none" },
    })),
    ...organisationItems(organisations),
    { kind: "limits", name: "callers", attributes: { ...limits } },
  ];
  return new Map(items.map((item) => [`${item.kind} ${item.name}`, item]));
}

/** Keys are secrets, so a note shows only their number. */
function organisationItems(
  organisations: ReadonlyMap<string, Organisation> | null,
): ConfigurationItem[] {
  const keys = new Map<string, { count: number; priority: number | null }>();
  for (const { name, priority } of organisations?.values() ?? []) {
    const entry = keys.get(name);
    if (entry) entry.count += 1;
    else keys.set(name, { count: 1, priority });
  }
  return [...keys].map(([name, { count, priority }]) => ({
    kind: "organisation" as const,
    name,
    attributes: { keys: count, priority: priority ?? "of the route" },
  }));
}
