/** Finds the command that the words name, and runs it. */
import { type CommandError, createAdminClient } from "./admin_client.ts";
import type { Command, CommandFlags } from "./command.ts";
import { noteCommands } from "./commands/note.ts";
import { statusCommands } from "./commands/status.ts";
import { exitCodes } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** All commands, in the order of `--help`. */
export const commands: readonly Command[] = [
  ...noteCommands,
  ...statusCommands,
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

The administrators' key comes from ROSEMARYPIN_ADMIN_KEY, the addresses from
--admin or ROSEMARYPIN_ADMIN.

Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 another note came
first, 4 nothing was done and a later try may help, 5 outcome unknown, 6 not
in time.`;
}

/** Runs the command that `words` name; resolves to the exit code. */
export async function runCommand(
  words: readonly string[],
  options: RunOptions,
): Promise<number> {
  const { output, flags, help } = options;
  const command = findCommand(words);
  if (!command) {
    output.write(overview());
    return help || words.length === 0 ? exitCodes.ok : exitCodes.usage;
  }
  if (help) {
    output.write(command.help);
    return exitCodes.ok;
  }
  const admin = createAdminClient({
    urls: options.adminUrls,
    key: options.key,
  });
  const rest = words.slice(command.name.split(" ").length);
  try {
    return await command.run({ admin, output, words: rest, flags });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    process.stderr.write(`rosemarypin: ${message}\n`);
    return (error as CommandError).exitCode ?? exitCodes.failed;
  }
}

function findCommand(words: readonly string[]): Command | undefined {
  return commands.find(({ name }) => {
    const parts = name.split(" ");
    return parts.every((part, index) => part === words[index]);
  });
}
