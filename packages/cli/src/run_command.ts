/** Finds the command that the words name, and runs it. */
import { createAdminClient } from "./admin_client.ts";
import type { Command, CommandFlags } from "./command.ts";
import { CommandError } from "./command_error.ts";
import { accountCommands } from "./commands/account.ts";
import { checkCommands } from "./commands/check.ts";
import { explainCommands } from "./commands/explain.ts";
import { keyCommands } from "./commands/key.ts";
import { noteCommands } from "./commands/note.ts";
import { noteViewCommands } from "./commands/note_view.ts";
import { reportCommands } from "./commands/report.ts";
import { statusCommands } from "./commands/status.ts";
import { traceCommands } from "./commands/trace.ts";
import { exitCodes } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** All commands, in the order of `--help`. */
export const commands: readonly Command[] = [
  ...noteCommands,
  ...noteViewCommands,
  ...statusCommands,
  ...explainCommands,
  ...traceCommands,
  ...accountCommands,
  ...checkCommands,
  ...reportCommands,
  ...keyCommands,
];

export interface RunOptions {
  readonly output: Output;
  readonly flags: CommandFlags;
  readonly help: boolean;
  readonly adminUrls: readonly string[];
  readonly key: string;
}

/** The text of `rosemarypin --help`. */
export function overview(): string {
  const width = Math.max(...commands.map(({ name }) => name.length));
  const lines = commands.map(
    ({ name, summary }) => `  ${name.padEnd(width)}  ${summary}`,
  );
  return `Usage: rosemarypin COMMAND [--admin URL[,URL]] [--json] [--help]

${lines.join("\n")}

Each command has its own --help. The administrators' key comes from
ROSEMARYPIN_ADMIN_KEY, the addresses from --admin or ROSEMARYPIN_ADMIN; the
next one is asked when one cannot be reached. Output is a table on a terminal
and JSON elsewhere; --json and --no-json choose.

Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 another note came
first, 4 nothing was done and a later try may help, 5 outcome unknown, 6 not
in time. See docs/cli.md.`;
}

/** Runs the command that `words` name; resolves to the exit code. */
export async function runCommand(
  words: readonly string[],
  options: RunOptions,
): Promise<number> {
  const { output, flags, help } = options;
  const command = findCommand(words);
  if (!command) return describeCommands(words, options);
  if (help) {
    output.write(command.help);
    return exitCodes.ok;
  }
  const rest = words.slice(command.name.split(" ").length);
  const mistake = findMistake(command, { flags, words: rest });
  if (mistake) {
    output.writeError(`rosemarypin: ${mistake}\n\n${command.help}`);
    return exitCodes.usage;
  }
  const admin = createAdminClient({
    urls: options.adminUrls,
    key: options.key,
  });
  try {
    return await command.run({ admin, output, words: rest, flags });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    output.writeError(`rosemarypin: ${message}`);
    const isKnown = error instanceof CommandError;
    return isKnown ? error.exitCode : exitCodes.failed;
  }
}

function describeCommands(
  words: readonly string[],
  { output, help }: RunOptions,
): number {
  const [first] = words;
  const isGroup = commands.some(({ name }) => name.startsWith(`${first} `));
  if (first === undefined || (help && isGroup)) {
    output.write(overview());
    return exitCodes.ok;
  }
  const text = words.join(" ");
  output.writeError(`rosemarypin: no command '${text}'\n\n${overview()}`);
  return exitCodes.usage;
}

function findCommand(words: readonly string[]): Command | undefined {
  return commands.find(({ name }) => {
    const parts = name.split(" ");
    return parts.every((part, index) => part === words[index]);
  });
}

/** A flag or word that the command would pass over in silence. */
function findMistake(
  command: Command,
  given: { readonly flags: CommandFlags; readonly words: readonly string[] },
): string | null {
  const allowed: readonly string[] = command.flags ?? [];
  const flag = Object.entries(given.flags).find(
    ([name, value]) => value !== undefined && !allowed.includes(name),
  );
  if (flag) return `'${command.name}' takes no --${toKebabCase(flag[0])}`;
  const extra = given.words[command.words ?? 0];
  return extra === undefined
    ? null
    : `'${command.name}' does not know what to do with '${extra}'`;
}

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
