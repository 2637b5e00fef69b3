/** Addresses to ping in order to join or rejoin other instances. */
import type { Address } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { MemberTable } from "./member_table.ts";

const HINT_REFRESH_INTERVAL_MS = 30_000;
const MAX_HINTS = 1_024;

/** Reads addresses that may be those of instances; must not reject. */
export type ReadHints = () => Promise<readonly Address[]>;

/** Creates the address book and refreshes hints until `signal` aborts. */
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
      hints = (await options.hints()).slice(0, MAX_HINTS);
      await pause(HINT_REFRESH_INTERVAL_MS, signal);
    }
  }

  return {
    /** Seeds and hints without an active member, and addresses of the dead. */
    joinCandidates(): readonly Address[] {
      const activeKeys = new Set([keyOf(own)]);
      const dead: Address[] = [];
      for (const { record, status } of table.allNews()) {
        if (status === "dead") dead.push(record.peer);
        else if (status !== "left") activeKeys.add(keyOf(record.peer));
      }
      const isInactive = (address: Address) => !activeKeys.has(keyOf(address));
      return [...seeds, ...hints].filter(isInactive).concat(dead);
    },
  };
}

function keyOf({ host, port }: Address): string {
  return `${host} ${port}`;
}
