/** A failure that ends the command with a message and an exit code. */
import { exitCodes } from "./exit_codes.ts";

export class CommandError extends Error {
  constructor(
    /** What happened and what to do next. */
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

/** The command was not given what it needs. */
export function usageError(message: string): CommandError {
  return new CommandError(message, exitCodes.usage);
}
