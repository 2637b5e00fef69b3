/** Commands that publish release notes. */
import { randomUUID } from "node:crypto";
import {
  publishAnswerSchema,
  type ReleaseNote,
  releaseNoteSchema,
  type WithdrawnLine,
  withdrawnLineSchema,
} from "@rosemarypin/schemas";
import { readCurrentNumber } from "../admin_client.ts";
import type { Command, CommandContext } from "../command.ts";
import { CommandError, usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { readNote } from "../files.ts";
import { show } from "../output.ts";

const publish: Command = {
  name: "note publish",
  summary: "publish a release note from a YAML file",
  words: 1,
  flags: ["publishId"],
  help: `Usage: rosemarypin note publish FILE [--publish-id ID]

Publishes the note in FILE. Its 'supersedes' is the number of the note in use,
0 for none; if another note came first, nothing is published (exit 3). A
publish id is made if the file has none; to repeat a publish whose outcome is
unknown (exit 5), give the id that was printed.`,
  async run(context) {
    const file = context.words[0];
    if (!file) throw usageError("name the note's file: note publish FILE");
    const publishId = context.flags.publishId ?? randomUUID();
    return publishNote(readNote(file, { publishId }), context);
  },
};

const amend: Command = {
  name: "note amend",
  summary: "publish a note from a file on top of the current one",
  words: 1,
  flags: ["publishId"],
  help: `Usage: rosemarypin note amend FILE [--publish-id ID]

Like 'note publish', for a FILE without 'supersedes': the number of the note
in use is filled in. Look at 'note show' first: what another operator has just
published is amended too.`,
  async run(context) {
    const file = context.words[0];
    if (!file) throw usageError("name the note's file: note amend FILE");
    const supersedes = await readCurrentNumber(context.admin);
    const publishId = context.flags.publishId ?? randomUUID();
    const defaults = { publishId, supersedes, isFixed: true };
    return publishNote(readNote(file, defaults), context);
  },
};

const recall: Command = {
  name: "note recall",
  summary: "withdraw a batch with a new note",
  words: 3,
  flags: ["reason", "publishId"],
  help: `Usage: rosemarypin note recall KIND NAME... --reason TEXT [--publish-id ID]

  note recall version MODEL VERSION
  note recall adapter MODEL ADAPTER
  note recall layer-set MODEL LAYER_SET
  note recall service SERVICE

Publishes a note that withdraws the batch for good, on top of the current
note. Watch it with 'note wait'.`,
  async run(context) {
    const line = parseWithdrawn(context.words);
    const { reason, publishId = randomUUID() } = context.flags;
    if (!reason) throw usageError("say why with --reason TEXT");
    const supersedes = await readCurrentNumber(context.admin);
    const note = releaseNoteSchema.safeParse({
      supersedes,
      publishId,
      reason,
      withdrawn: [line],
    });
    if (note.success) return publishNote(note.data, context);
    const [issue] = note.error.issues;
    throw usageError(`${issue?.path.join(".")}: ${issue?.message}`);
  },
};

/** Commands that publish. */
export const noteCommands: readonly Command[] = [publish, amend, recall];

async function publishNote(
  note: ReleaseNote,
  { admin, output }: CommandContext,
): Promise<number> {
  const answer = await admin
    .post("/v1/notes", { body: note, schema: publishAnswerSchema })
    .catch((error: unknown) => {
      throw withPublishId(error, note.publishId);
    });
  const value = { ...answer, publishId: note.publishId };
  show(output, value, {
    render: ({ number, repeated }) =>
      `note ${number} ${repeated ? "was recorded before" : "is recorded"}; ` +
      `next: rosemarypin note wait ${number}`,
  });
  return exitCodes.ok;
}

/** Whoever repeats a publish of unknown outcome needs its id. */
function withPublishId(error: unknown, publishId: string): unknown {
  const isUnknown =
    error instanceof CommandError && error.exitCode === exitCodes.unknown;
  if (!isUnknown) return error;
  const message = `${error.message}\npublish id: ${publishId}`;
  return new CommandError(message, exitCodes.unknown);
}

function parseWithdrawn(words: readonly string[]): WithdrawnLine {
  const [kind, first, second] = words;
  const candidates = new Map<string | undefined, unknown>([
    ["version", { kind, model: first, version: second }],
    ["adapter", { kind, model: first, adapter: second }],
    ["layer-set", { kind: "layerSet", model: first, layerSet: second }],
    ["service", { kind, service: first }],
  ]);
  const parsed = withdrawnLineSchema.safeParse(candidates.get(kind));
  if (parsed.success) return parsed.data;
  throw usageError("say what to recall; see 'rosemarypin note recall --help'");
}
