/** What every command has. */
import type { AdminClient } from "./admin_client.ts";
import type { Output } from "./output.ts";

/** What a command works with. */
export interface CommandContext {
  readonly admin: AdminClient;
  readonly output: Output;
  /** Words after the command's name. */
  readonly words: readonly string[];
  readonly flags: CommandFlags;
}

export interface CommandFlags {
  readonly reason: string | undefined;
  /** How long `note wait` waits, in seconds. */
  readonly timeout: number;
  readonly publishId: string | undefined;
}

/** One command, such as `note publish`. */
export interface Command {
  /** The words that name it. */
  readonly name: string;
  readonly summary: string;
  /** Text of `--help`. */
  readonly help: string;
  run(context: CommandContext): Promise<number>;
}
