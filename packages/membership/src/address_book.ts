/** Addresses at which an instance may or may not be. */
import type { Address } from "@rosemarypin/schemas";
import type { MemberTable } from "./member_table.ts";
import { pause } from "./pause.ts";

const HINTS_EVERY_MS = 30_000;
const MOST_HINTS = 1_024;

/** Reads addresses to try; must not reject. */
export type ReadHints = () => Promise<readonly Address[]>;

/** Creates the book of one instance and reads hints until the signal. */
export function createAddressBook(options: {
  readonly table: MemberTable;
  readonly own: Address;
  readonly seeds: readonly Address[];
  readonly hints: ReadHints | undefined;
  readonly signal: AbortSignal;
}) {
  const { table, own, seeds, signal } = options;
  let hints: readonly Address[] = [];
  void readHints();

  async function readHints(): Promise<void> {
    while (options.hints && !signal.aborted) {
      hints = (await options.hints()).slice(0, MOST_HINTS);
      await pause(HINTS_EVERY_MS, signal);
    }
  }

  return {
    /** Seeds and hints that are not known to live, and the dead. */
    strangers(): readonly Address[] {
      const living = new Set([keyOf(own)]);
      const dead: Address[] = [];
      for (const { record, status } of table.allNews()) {
        if (status === "dead") dead.push(record.peer);
        else if (status !== "left") living.add(keyOf(record.peer));
      }
      const isUnknown = (address: Address) => !living.has(keyOf(address));
      return [...seeds, ...hints].filter(isUnknown).concat(dead);
    },
  };
}

function keyOf({ host, port }: Address): string {
  return `${host} ${port}`;
}
