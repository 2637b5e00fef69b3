/** Puts together from log lines what happened to one request or server. */

/** One line of a log, as pairs. */
export interface LogLine {
  /** Unix milliseconds. */
  readonly at: number;
  readonly source: string;
  readonly scope: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** A line of a story. */
export interface StoryLine extends LogLine {
  /** Whether it names the subject, or tells of what the subject met. */
  readonly role: "subject" | "server" | "instance";
}

/** How long before its first line a subject's surroundings may matter. */
const BEFORE_MS = 5_000;
const AFTER_MS = 1_000;
/** Events that change what an instance believes, whatever their subject. */
const INSTANCE_EVENTS = new Set([
  "configuration_in_force",
  "store_away",
  "store_back",
  "lease_held",
  "lease_released",
  "started",
  "stopping",
  "stopped",
  "lines_left_out",
]);
const PAIR = /([A-Za-z_][\w]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Reads the lines of one log; what is no event is passed over. */
export function readLog(source: string, text: string): LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("time=");
    if (start < 0) return [];
    const pairs = [...line.slice(start).matchAll(PAIR)].map(
      ([, key = "", value = ""]): [string, string] => [key, unquote(value)],
    );
    const {
      time = "",
      scope = "",
      event,
      ...fields
    } = Object.fromEntries(pairs);
    const at = Date.parse(time);
    if (event === undefined || Number.isNaN(at)) return [];
    return [
      { at, source: sourceOf(line, start, source), scope, event, fields },
    ];
  });
}

/** What stands before a line, such as the name of its machine. */
function sourceOf(line: string, start: number, source: string): string {
  const prefix = line.slice(0, start).trim();
  return prefix === "" ? source : (prefix.split(/\s+/).at(-1) ?? source);
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    return value;
  }
}

/** The lines about a subject, with those of the servers that it met. */
export function tellStory(lines: readonly LogLine[], id: string): StoryLine[] {
  const own = lines.filter((line) => names(line, id));
  const [first] = own;
  if (!first) return [];
  const sources = new Set(own.map(({ source }) => source));
  const servers = new Set(own.flatMap(serversOf));
  const from = Math.min(...own.map(({ at }) => at)) - BEFORE_MS;
  const to = Math.max(...own.map(({ at }) => at)) + AFTER_MS;
  return lines
    .filter(({ at, source }) => at >= from && at <= to && sources.has(source))
    .flatMap((line): StoryLine[] => {
      if (names(line, id)) return [{ ...line, role: "subject" }];
      const isOther = line.fields.request !== undefined;
      if (!isOther && servers.has(line.fields.id ?? "")) {
        return [{ ...line, role: "server" }];
      }
      if (INSTANCE_EVENTS.has(line.event))
        return [{ ...line, role: "instance" }];
      return [];
    })
    .sort((a, b) => a.at - b.at);
}

function names({ fields }: LogLine, id: string): boolean {
  return Object.values(fields).some(
    (value) => value === id || value.split(",").includes(id),
  );
}

/** Servers that a line of a request names. */
function serversOf({ fields }: LogLine): string[] {
  if (fields.request === undefined) return [];
  return [fields.id ?? "", ...(fields.stages ?? "").split(",")].filter(
    (id) => id !== "",
  );
}
