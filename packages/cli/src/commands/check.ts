/** The command that checks a file without publishing or starting anything. */
import { randomUUID } from "node:crypto";
import {
  type FileResult,
  formatProblem,
  type NoteCheck,
  noteCheckSchema,
  parseYamlFile,
  settingsSchema,
} from "@rosemarypin/schemas";
import { z } from "zod";
import { readCurrentNumber } from "../admin_client.ts";
import type { Command, CommandContext } from "../command.ts";
import { usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { parseNote, readText } from "../files.ts";
import { renderChanges } from "../note_changes.ts";
import { type Output, show } from "../output.ts";

/** Keys that only settings have. */
const settingsMarkSchema = z.looseObject({ deployment: z.unknown() });

const check: Command = {
  name: "check",
  summary: "check a settings file or a release note",
  words: 1,
  help: `Usage: rosemarypin check FILE [--admin URL]

Checks settings (a file with 'deployment') or a release note against their
schema, offline. With --admin a note is also checked against the note in use:
whether it could be published now, and what it would change. A note without
'supersedes' is checked as 'note amend' would publish it. Exits 2 if the file
is not valid.`,
  async run(context) {
    const file = context.words[0];
    if (!file) throw usageError("name a file: check FILE");
    if (isSettings(file)) {
      const text = readText(file);
      return report(parseYamlFile(settingsSchema, { text, file }), {
        output: context.output,
        what: `${file}: valid settings`,
      });
    }
    return checkNote(file, context);
  },
};

/** The command `check`. */
export const checkCommands: readonly Command[] = [check];

function isSettings(file: string): boolean {
  const text = readText(file);
  return parseYamlFile(settingsMarkSchema, { text, file }).kind === "valid";
}

async function checkNote(
  file: string,
  { admin, output }: CommandContext,
): Promise<number> {
  const isOffline = admin.urls.length === 0;
  const supersedes = isOffline ? 0 : await readCurrentNumber(admin);
  const result = parseNote(file, { publishId: randomUUID(), supersedes });
  if (result.kind === "invalid" || isOffline) {
    const what = `${file}: valid by its schema; use --admin URL to check it against the note in use`;
    return report(result, { output, what });
  }
  const value = await admin.post("/v1/notes/check", {
    body: result.value,
    schema: noteCheckSchema,
  });
  show(output, value, { render: () => renderCheck(file, value) });
  return value.valid ? exitCodes.ok : exitCodes.usage;
}

function report(
  result: FileResult<unknown>,
  options: { readonly output: Output; readonly what: string },
): number {
  const { output, what } = options;
  const isValid = result.kind === "valid";
  const problems = isValid ? [] : result.problems;
  const value = { valid: isValid, problems };
  show(output, value, {
    render: () => (isValid ? what : problems.map(formatProblem).join("\n")),
  });
  return isValid ? exitCodes.ok : exitCodes.usage;
}

function renderCheck(file: string, value: NoteCheck): string {
  const { valid, against, problems, changes } = value;
  if (!valid) {
    return problems
      .map(({ line, message }) => `${file}: ${line}: ${message}`)
      .join("\n");
  }
  const title = `${file}: could be published on note ${against}, and changes`;
  return [title, ...renderChanges(changes)].join("\n");
}
