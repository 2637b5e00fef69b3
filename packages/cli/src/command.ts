/** What every command has. */
import type { AdminClient } from "./admin_client.ts";
import type { Output } from "./output.ts";

/** Flags that some commands take; `undefined` when not given. */
export interface CommandFlags {
  readonly reason?: string | undefined;
  /** How long `note wait` waits, in seconds. */
  readonly timeout?: number | undefined;
  readonly publishId?: string | undefined;
  readonly adapter?: string | undefined;
  readonly service?: boolean | undefined;
  /** File for the page of `report burn`. */
  readonly html?: string | undefined;
  /** File with what callers saw, for `account`. */
  readonly outcomes?: string | undefined;
  /** Series of each objective that `report burn` names. */
  readonly top?: number | undefined;
}

/** What a command works with. */
export interface CommandContext {
  readonly admin: AdminClient;
  readonly output: Output;
  /** Words after the command's name. */
  readonly words: readonly string[];
  readonly flags: CommandFlags;
}

/** One command, such as `note publish`. */
export interface Command {
  /** The words that name it. */
  readonly name: string;
  readonly summary: string;
  /** Text of `--help`. */
  readonly help: string;
  /** Flags it takes, beside those that all take. */
  readonly flags?: readonly (keyof CommandFlags)[];
  /** Most words after its name; none when left out. */
  readonly words?: number;
  run(context: CommandContext): Promise<number>;
}
