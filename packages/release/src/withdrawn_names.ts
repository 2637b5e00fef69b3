/**
 * Names that were withdrawn and are never given out again. The head object
 * holds the newest withdrawals; each older one has an object of its own.
 */

import {
  type AddedLine,
  type ReleaseNote,
  storedKeys,
  type Withdrawal,
  type WithdrawnLine,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoreResult } from "@rosemarypin/store";
import type { NoteProblem } from "./fold.ts";

/** More than a day of withdrawals when half of 410 notes withdraw something. */
const KEPT_COUNT = 256;
/** A reason may have 6 KB, so a count alone would not bound the head. */
const KEPT_BYTES = 262_144;
/** A publish moves no more than this, to stay within the calls a second. */
const MOVED_AT_ONCE = 16;
/** How often a call that is over the budget is sent again. */
const BUDGET_RETRIES = 20;

/** Withdrawals of a catalogue by where they are to be kept. */
export interface SplitWithdrawals {
  /** What the next head holds. */
  readonly kept: Withdrawal[];
  /** What has to be kept elsewhere before the next head is written. */
  readonly moved: readonly Withdrawal[];
}

/**
 * Finds the oldest withdrawals that a head has no room for. Those of the note
 * that is being published stay: they are not recorded yet, and if the note
 * loses its race, an object for one of them would be false for ever.
 */
export function splitWithdrawals(
  withdrawals: readonly Withdrawal[],
  options: { readonly before: number },
): SplitWithdrawals {
  const sizes = withdrawals.map((one) => JSON.stringify(one)).map(byteLength);
  let bytes = sizes.reduce((sum, size) => sum + size, 0);
  let count = 0;
  while (count < MOVED_AT_ONCE) {
    const oldest = withdrawals[count];
    const hasRoom =
      withdrawals.length - count <= KEPT_COUNT && bytes <= KEPT_BYTES;
    if (hasRoom || !oldest || oldest.number >= options.before) break;
    bytes -= sizes[count] ?? 0;
    count += 1;
  }
  return { kept: withdrawals.slice(count), moved: withdrawals.slice(0, count) };
}

export interface WithdrawnNames {
  /** Keeps recorded withdrawals for good; resolves to whether all are kept. */
  keep(withdrawals: readonly Withdrawal[]): Promise<boolean>;
  /** Lines of the note that give out such a name; `null` if not known. */
  findReused(note: ReleaseNote): Promise<readonly NoteProblem[] | null>;
}

/**
 * Creates access to the names of a deployment. An object is created only for
 * a withdrawal that was read from a recorded head, and is never changed. So a
 * publisher that loses its race, or dies before its head is written, leaves
 * only what is true already, and two that keep the same name agree.
 */
export function createWithdrawnNames(options: {
  readonly deployment: string;
  readonly store: ObjectStore;
}): WithdrawnNames {
  const { deployment, store } = options;

  async function keepOne(withdrawal: Withdrawal): Promise<boolean> {
    const key = storedKeys.withdrawn(deployment, nameOf(withdrawal.line));
    const written = await withinBudget(() =>
      store.write(key, withdrawal, { expectedVersion: null }),
    );
    if (written.kind === "ok" || written.kind === "conflict") return true;
    if (written.kind !== "reply_lost") return false;
    // Whether the write took effect is hidden; the object itself tells.
    const read = await withinBudget(() => store.read(key));
    return read.kind === "ok" && read.value !== null;
  }

  async function findOne(use: NameUse): Promise<NoteProblem | null | "unread"> {
    const key = storedKeys.withdrawn(deployment, use.name);
    const read = await withinBudget(() => store.read(key));
    if (read.kind !== "ok") return "unread";
    if (read.value === null) return null;
    const message = `'${use.name}' was withdrawn for good by an older note; use a new name`;
    return { line: use.line, message };
  }

  return {
    async keep(withdrawals) {
      const kept = await Promise.all(withdrawals.map(keepOne));
      return kept.every(Boolean);
    },
    async findReused(note) {
      const uses = note.added.flatMap((line, index) =>
        namesIn(line).map((name) => ({ name, line: `added[${index}]` })),
      );
      const problems: NoteProblem[] = [];
      for (const use of uses) {
        const found = await findOne(use);
        if (found === "unread") return null;
        if (found) problems.push(found);
      }
      return problems;
    },
  };
}

/** A name that a line of a note gives out. */
interface NameUse {
  readonly name: string;
  readonly line: string;
}

/** The names that a line gives out, as `nameOf` writes withdrawn ones. */
function namesIn(line: AddedLine): string[] {
  if (line.kind !== "version") return [nameOf(line)];
  const { kind, model, version } = line;
  return [
    nameOf({ kind, model, version }),
    ...line.layerSets.map(({ name }) =>
      nameOf({ kind: "layerSet", model, layerSet: name }),
    ),
  ];
}

function nameOf(line: WithdrawnLine): string {
  switch (line.kind) {
    case "version":
      return `version/${line.model}/${line.version}`;
    case "adapter":
      return `adapter/${line.model}/${line.adapter}`;
    case "layerSet":
      return `layerSet/${line.model}/${line.layerSet}`;
    case "service":
      return `service/${line.service}`;
  }
}

/** A note with many lines may use up the calls of a second; it waits then. */
async function withinBudget<T>(
  call: () => Promise<StoreResult<T>>,
): Promise<StoreResult<T>> {
  for (let retry = 0; retry < BUDGET_RETRIES; retry++) {
    const result = await call();
    if (result.kind !== "over_budget") return result;
    await new Promise((resolve) => setTimeout(resolve, result.retryAfterMs));
  }
  return call();
}

function byteLength(text: string): number {
  return Buffer.byteLength(text);
}
