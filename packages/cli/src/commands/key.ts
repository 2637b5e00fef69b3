/** The command that makes the hash of a key for the settings. */
import { createHash } from "node:crypto";
import { text } from "node:stream/consumers";
import type { Command } from "../command.ts";
import { usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { show } from "../output.ts";

/** Shorter keys can be guessed from their hash. */
const SHORTEST_KEY = 16;
const LONGEST_KEY = 256;

const hash: Command = {
  name: "key hash",
  summary: "read a key from standard input and print its hash for the settings",
  help: `Usage: openssl rand -hex 32 | tee KEY_FILE | rosemarypin key hash

Reads one key of ${SHORTEST_KEY} to ${LONGEST_KEY} characters without spaces, and prints the SHA-256 for
'keySha256' or 'adminKeySha256'. The key itself goes to whoever calls; it is
neither printed nor logged.`,
  async run({ output }) {
    const key = (await text(process.stdin)).trim();
    const isUsable = /^\S+$/.test(key);
    const fits = key.length >= SHORTEST_KEY && key.length <= LONGEST_KEY;
    if (!isUsable || !fits) {
      throw usageError(
        `expected one key of ${SHORTEST_KEY} to ${LONGEST_KEY} characters without spaces`,
      );
    }
    const sha256 = createHash("sha256").update(key).digest("hex");
    show(output, { sha256 }, { render: () => sha256 });
    return exitCodes.ok;
  },
};

/** Commands about keys. */
export const keyCommands: readonly Command[] = [hash];
