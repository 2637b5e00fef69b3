/** Commands about release notes. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import {
  formatProblem,
  historySchema,
  type NoteRecord,
  type NoteStatus,
  noteStatusSchema,
  parseYamlFile,
  publishAnswerSchema,
  type ReleaseNote,
  releaseNoteSchema,
  statusSchema,
  type WithdrawnLine,
  withdrawnLineSchema,
} from "@rosemarypin/schemas";
import { CommandError } from "../admin_client.ts";
import type { Command, CommandContext } from "../command.ts";
import { exitCodes } from "../exit_codes.ts";
import { type Output, show, table } from "../output.ts";

const POLL_MS = 200;

const publish: Command = {
  name: "note publish",
  summary: "publish a release note from a YAML file",
  help: `Usage: rosemarypin note publish FILE

Publishes the note in FILE. A publish id is made if the file has none; to
repeat a publish whose outcome is unknown, keep the id that was printed.`,
  async run(context) {
    const file = context.words[0];
    if (!file) throw usage("name the note's file: note publish FILE");
    const note = readNote(file, context);
    return publishNote(note, context);
  },
};

const recall: Command = {
  name: "note recall",
  summary: "withdraw a batch with a new note",
  help: `Usage: rosemarypin note recall KIND NAME... --reason TEXT

  note recall version MODEL VERSION
  note recall adapter MODEL ADAPTER
  note recall layer-set MODEL LAYER_SET
  note recall service SERVICE

Publishes a note that withdraws the batch, on top of the current note.`,
  async run(context) {
    const line = parseWithdrawn(context.words);
    const { reason } = context.flags;
    if (!reason) throw usage("say why with --reason TEXT");
    const { note: current } = await context.admin.get(
      "/v1/status",
      statusSchema,
    );
    const note = releaseNoteSchema.parse({
      supersedes: current,
      publishId: context.flags.publishId ?? randomUUID(),
      reason,
      withdrawn: [line],
    });
    return publishNote(note, context);
  },
};

const history: Command = {
  name: "note history",
  summary: "list the notes, newest first",
  help: "Usage: rosemarypin note history [--json]",
  async run({ admin, output }) {
    const { notes } = await admin.get("/v1/notes", historySchema);
    show(output, notes, { render: renderHistory });
    return exitCodes.ok;
  },
};

const showNote: Command = {
  name: "note show",
  summary: "show one note, or the current one",
  help: "Usage: rosemarypin note show [NUMBER] [--json]",
  async run({ admin, output, words }) {
    const { notes } = await admin.get("/v1/notes", historySchema);
    const wanted = words[0] === undefined ? notes[0]?.number : Number(words[0]);
    const record = notes.find(({ number }) => number === wanted);
    if (!record) {
      const message = `no note ${wanted ?? ""}; see 'note history'`;
      throw new CommandError(message, exitCodes.failed);
    }
    show(output, record, { render: renderRecord });
    return exitCodes.ok;
  },
};

const wait: Command = {
  name: "note wait",
  summary: "wait until a note is in force everywhere",
  help: `Usage: rosemarypin note wait NUMBER [--timeout SECONDS]

Watches instances and engines confirm the note. Exits 0 once it is in force,
and 6 if the time runs out; then it names who has not confirmed.`,
  async run({ admin, output, words, flags }) {
    const number = Number(words[0]);
    if (!Number.isInteger(number) || number < 1) {
      throw usage("name the note's number: note wait NUMBER");
    }
    const end = Date.now() + flags.timeout * 1_000;
    while (true) {
      const path = `/v1/notes/${number}/status`;
      const status = await admin.get(path, noteStatusSchema);
      const isOver = status.phase === "in_force" || Date.now() >= end;
      output.progress(progressLine(status));
      if (isOver) return finishWait(status, output);
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  },
};

/** All commands about notes. */
export const noteCommands: readonly Command[] = [
  publish,
  recall,
  showNote,
  history,
  wait,
];

function readNote(file: string, context: CommandContext): ReleaseNote {
  const text = readFileSync(file, "utf8");
  const withId = releaseNoteSchema.extend({
    publishId: releaseNoteSchema.shape.publishId.default(
      context.flags.publishId ?? randomUUID(),
    ),
  });
  const result = parseYamlFile(withId, { text, file });
  if (result.kind === "valid") return result.value;
  throw new CommandError(
    result.problems.map(formatProblem).join("\n"),
    exitCodes.usage,
  );
}

async function publishNote(
  note: ReleaseNote,
  { admin, output }: CommandContext,
): Promise<number> {
  const answer = await admin.post("/v1/notes", {
    body: note,
    schema: publishAnswerSchema,
  });
  show(
    output,
    { ...answer, publishId: note.publishId },
    {
      render: ({ number }) =>
        `note ${number} is recorded; next: rosemarypin note wait ${number}`,
    },
  );
  return exitCodes.ok;
}

function parseWithdrawn(words: readonly string[]): WithdrawnLine {
  const [kind, first, second] = words;
  const candidates: Readonly<Record<string, unknown>> = {
    version: { kind, model: first, version: second },
    adapter: { kind, model: first, adapter: second },
    "layer-set": { kind: "layerSet", model: first, layerSet: second },
    service: { kind, service: first },
  };
  const parsed = withdrawnLineSchema.safeParse(candidates[kind ?? ""]);
  if (parsed.success) return parsed.data;
  throw usage("say what to recall; see 'rosemarypin note recall --help'");
}

function finishWait(status: NoteStatus, output: Output): number {
  if (output.isTerminal) process.stderr.write("\n");
  show(output, status, { render: renderStatus });
  return status.phase === "in_force" ? exitCodes.ok : exitCodes.notInTime;
}

function progressLine(status: NoteStatus): string {
  const done = (lines: readonly { readonly state: string }[]) =>
    lines.filter(({ state }) => state !== "behind" && state !== "unheard")
      .length;
  const { instances, engines, number, phase } = status;
  return (
    `note ${number}: ${phase}, instances ${done(instances)}/` +
    `${instances.length}, engines ${done(engines)}/${engines.length}`
  );
}

function renderStatus(status: NoteStatus): string {
  const rows = [
    ...status.instances.map((line) => ["instance", ...cells(line)]),
    ...status.engines.map((line) => ["engine", ...cells(line)]),
  ];
  const titles = ["kind", "name", "domain", "state", "detail"];
  return `${table(titles, rows)}\n${progressLine(status)}`;
}

function cells(line: {
  readonly id: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly detail: string;
}): string[] {
  return [line.id, line.failureDomain, line.state, line.detail];
}

function renderHistory(notes: readonly NoteRecord[]): string {
  const rows = notes.map(({ number, note, recordedAt }) => [
    number,
    new Date(recordedAt).toISOString(),
    `+${note.added.length} ~${note.changed.length} -${note.withdrawn.length}`,
    note.reason,
  ]);
  return table(["number", "recorded", "lines", "reason"], rows);
}

function renderRecord({ number, note }: NoteRecord): string {
  const lines = [
    ...note.added.map((line) => `  + ${describeLine(line)}`),
    ...note.changed.map((line) => `  ~ ${describeLine(line)}`),
    ...note.withdrawn.map((line) => `  - ${describeLine(line)}`),
  ];
  return [`note ${number}: ${note.reason}`, ...lines].join("\n");
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

function usage(message: string): CommandError {
  return new CommandError(message, exitCodes.usage);
}
