/** Reads and checks the files that commands are given. */
import { readFileSync } from "node:fs";
import {
  type FileResult,
  formatProblem,
  parseYamlFile,
  type ReleaseNote,
  releaseNoteSchema,
} from "@rosemarypin/schemas";
import { z } from "zod";
import { CommandError, usageError } from "./command_error.ts";
import { exitCodes } from "./exit_codes.ts";

/** Reads a file, or says why that failed. */
export function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw usageError(`${file} cannot be read: ${reason}`);
  }
}

/** What a note file may leave out. */
export interface NoteDefaults {
  readonly publishId: string;
  /** Filled in where the file has none. */
  readonly supersedes?: number;
  /** Whether the file may name no other number. */
  readonly isFixed?: boolean;
}

/** Checks a note; what it leaves out comes from `defaults`. */
export function parseNote(
  file: string,
  defaults: NoteDefaults,
): FileResult<ReleaseNote> {
  const publishId = releaseNoteSchema.shape.publishId.default(
    defaults.publishId,
  );
  const supersedes = supersedesSchema(defaults);
  const schema = releaseNoteSchema.extend({ publishId, supersedes });
  return parseYamlFile(schema, { text: readText(file), file });
}

function supersedesSchema({ supersedes, isFixed }: NoteDefaults) {
  const schema = releaseNoteSchema.shape.supersedes;
  if (supersedes === undefined) return schema;
  if (!isFixed) return schema.default(supersedes);
  return z.literal(supersedes, noSupersedes).default(supersedes);
}

/** Reads a valid note, or ends the command with what is wrong. */
export function readNote(file: string, defaults: NoteDefaults): ReleaseNote {
  const result = parseNote(file, defaults);
  if (result.kind === "valid") return result.value;
  const problems = result.problems.map(formatProblem).join("\n");
  throw new CommandError(
    `the note is not valid:\n${problems}`,
    exitCodes.usage,
  );
}

const noSupersedes =
  "expected no 'supersedes', or the number of the note in use: 'note amend' fills it in";
