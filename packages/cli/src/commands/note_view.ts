/** Commands that show release notes and wait for them. */
import {
  type DisplayedNote,
  displayedHistorySchema,
  displayedNoteSchema,
  type NoteDiff,
  noteDiffSchema,
} from "@rosemarypin/schemas";
import { readCurrentNumber } from "../admin_client.ts";
import type { Command } from "../command.ts";
import { CommandError, usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { renderChanges } from "../note_changes.ts";
import { type Output, show, table } from "../output.ts";
import { waitInForce } from "../wait_in_force.ts";

const DEFAULT_WAIT_SECONDS = 60;

const showNote: Command = {
  name: "note show",
  summary: "show one note, or the current one",
  words: 1,
  help: "Usage: rosemarypin note show [NUMBER] [--json]",
  async run(context) {
    const number =
      parseNumber(context.words[0]) ?? (await readCurrentNumber(context.admin));
    if (number === 0) {
      throw new CommandError(
        "there is no note yet; publish the first with 'note publish FILE'",
        exitCodes.failed,
      );
    }
    const path = `/v1/notes/${number}`;
    const record = await context.admin.get(path, displayedNoteSchema);
    show(context.output, record, { render: renderRecord });
    return exitCodes.ok;
  },
};

const history: Command = {
  name: "note history",
  summary: "list the latest notes, newest first",
  help: "Usage: rosemarypin note history [--json]",
  async run({ admin, output }) {
    const { notes } = await admin.get("/v1/notes", displayedHistorySchema);
    show(output, notes, { render: (rows) => renderHistory(output, rows) });
    return exitCodes.ok;
  },
};

const diff: Command = {
  name: "note diff",
  summary: "show what changed between two notes",
  words: 2,
  help: `Usage: rosemarypin note diff [FROM] [TO] [--json]

Shows what may answer after note TO and not after note FROM, and the reverse.
FROM 0 is the state before the first note. Without TO, the current note; with
neither, what the current note changed.`,
  async run(context) {
    const [first, second] = context.words.map(parseNumber);
    const to = second ?? (await readCurrentNumber(context.admin));
    const from = first ?? Math.max(0, to - 1);
    const path = `/v1/notes/${from}/diff?to=${to}`;
    const value = await context.admin.get(path, noteDiffSchema);
    show(context.output, value, { render: renderDiff });
    return exitCodes.ok;
  },
};

const wait: Command = {
  name: "note wait",
  summary: "wait until a note is in force everywhere",
  words: 1,
  flags: ["timeout"],
  help: `Usage: rosemarypin note wait [NUMBER] [--timeout SECONDS]

Watches instances and engines confirm the note, the current one without a
NUMBER. Exits 0 once it is in force, and 6 if the time (${DEFAULT_WAIT_SECONDS} seconds unless given)
runs out; then it names who has not confirmed.`,
  async run(context) {
    const number =
      parseNumber(context.words[0]) ?? (await readCurrentNumber(context.admin));
    if (number < 1)
      throw usageError("name the note's number: note wait NUMBER");
    const { timeout = DEFAULT_WAIT_SECONDS } = context.flags;
    const isUsable = Number.isFinite(timeout) && timeout > 0;
    if (!isUsable) throw usageError("--timeout takes a number of seconds");
    return waitInForce(number, { ...context, timeoutSeconds: timeout });
  },
};

/** Commands that show notes or wait. */
export const noteViewCommands: readonly Command[] = [
  showNote,
  history,
  diff,
  wait,
];

function parseNumber(word: string | undefined): number | undefined {
  if (word === undefined) return undefined;
  if (/^\d{1,9}$/.test(word)) return Number(word);
  throw usageError(`'${word}' is no number of a note; see 'note history'`);
}

function renderHistory(
  output: Output,
  notes: readonly DisplayedNote[],
): string {
  if (notes.length === 0) return "no notes yet";
  const rows = notes.map(({ number, note, recordedAt }) => [
    number,
    new Date(recordedAt).toISOString(),
    `+${note.added.length} ~${note.changed.length} -${note.withdrawn.length}`,
    note.reason,
  ]);
  const titles = ["number", "recorded", "lines", "reason"];
  return table(output, { titles, rows });
}

function renderRecord({ number, note, recordedBy }: DisplayedNote): string {
  const lines = [
    ...note.added.map((line) => `  + ${describeLine(line)}`),
    ...note.changed.map((line) => `  ~ ${describeLine(line)}`),
    ...note.withdrawn.map((line) => `  - ${describeLine(line)}`),
  ];
  const title = `note ${number}: ${note.reason}`;
  const publish = note.publishId ? `, publish id ${note.publishId}` : "";
  const source = `supersedes ${note.supersedes}, recorded by ${recordedBy}${publish}`;
  return [title, source, ...lines].join("\n");
}

function renderDiff({ from, to, changes }: NoteDiff): string {
  const title = `from note ${from} to note ${to}`;
  if (changes.length === 0) return `${title}: nothing changed`;
  return [title, ...renderChanges(changes)].join("\n");
}

function describeLine(line: Readonly<Record<string, unknown>>): string {
  return Object.entries(line)
    .map(([key, value]) =>
      typeof value === "object"
        ? `${key}=${JSON.stringify(value)}`
        : `${key}=${String(value)}`,
    )
    .join(" ");
}
