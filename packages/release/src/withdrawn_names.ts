/**
 * Keeps withdrawn names, which must never be reused. The head object holds the
 * newest withdrawals, and each older one has its own object in the store.
 */

import {
  type AddedLine,
  type ReleaseNote,
  storedKeys,
  type Withdrawal,
  type WithdrawnLine,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoreResult } from "@rosemarypin/store";
import type { NoteProblem } from "./merge_note.ts";

/** Covers a day with 410 notes of which half withdraw something. */
const MAX_HEAD_WITHDRAWALS = 256;
/** Limits the size of the head, because one reason may take 6 KB. */
const MAX_HEAD_WITHDRAWAL_BYTES = 262_144;
/** Limits the writes of one publish to the store's call budget per second. */
const MAX_MOVED_PER_PUBLISH = 16;
/** Retries of a call that exceeds the store's call budget. */
const BUDGET_RETRIES = 20;

/** The withdrawals of a catalogue, split by where they are stored. */
export interface SplitWithdrawals {
  /** Withdrawals that the next head holds. */
  readonly kept: Withdrawal[];
  /** Withdrawals to store separately before the next head is written. */
  readonly moved: readonly Withdrawal[];
}

/**
 * Splits off the oldest withdrawals that exceed the limits of the head. Those of
 * the note being published, numbered `before`, stay in the head. They are not
 * recorded yet, and if the note lost the race, their objects would block names
 * that were never withdrawn.
 */
export function splitWithdrawals(
  withdrawals: readonly Withdrawal[],
  options: { readonly before: number },
): SplitWithdrawals {
  const sizes = withdrawals
    .map((withdrawal) => JSON.stringify(withdrawal))
    .map(byteLength);
  let bytes = sizes.reduce((sum, size) => sum + size, 0);
  let count = 0;
  while (count < MAX_MOVED_PER_PUBLISH) {
    const oldest = withdrawals[count];
    const hasRoom =
      withdrawals.length - count <= MAX_HEAD_WITHDRAWALS &&
      bytes <= MAX_HEAD_WITHDRAWAL_BYTES;
    if (hasRoom || !oldest || oldest.number >= options.before) break;
    bytes -= sizes[count] ?? 0;
    count += 1;
  }
  return { kept: withdrawals.slice(count), moved: withdrawals.slice(0, count) };
}

export interface WithdrawnNames {
  /** Stores recorded withdrawals; resolves to whether all are stored. */
  save(withdrawals: readonly Withdrawal[]): Promise<boolean>;
  /** Finds lines that reuse a withdrawn name; `null` if the store fails. */
  findReused(note: ReleaseNote): Promise<readonly NoteProblem[] | null>;
}

/**
 * Creates access to the withdrawn names of a deployment. An object is created
 * only for a withdrawal that was read from a recorded head, and it is never
 * changed. A publisher that loses the race, or crashes before it writes its
 * head, therefore leaves only valid objects, and two publishers that store the
 * same name write the same value.
 */
export function createWithdrawnNames(options: {
  readonly deployment: string;
  readonly store: ObjectStore;
}): WithdrawnNames {
  const { deployment, store } = options;

  async function storeWithdrawal(withdrawal: Withdrawal): Promise<boolean> {
    const key = storedKeys.withdrawn(deployment, nameOf(withdrawal.line));
    const written = await withinBudget(() =>
      store.write(key, withdrawal, { expectedVersion: null }),
    );
    if (written.kind === "ok" || written.kind === "conflict") return true;
    if (written.kind !== "reply_lost") return false;
    // After a lost reply, a read shows whether the write took effect.
    const read = await withinBudget(() => store.read(key));
    return read.kind === "ok" && read.value !== null;
  }

  async function findWithdrawnName(
    use: NameUse,
  ): Promise<NoteProblem | null | "store_failed"> {
    const key = storedKeys.withdrawn(deployment, use.name);
    const read = await withinBudget(() => store.read(key));
    if (read.kind !== "ok") return "store_failed";
    if (read.value === null) return null;
    const message = `'${use.name}' was withdrawn for good by an older note; use a new name`;
    return { line: use.line, message };
  }

  return {
    async save(withdrawals) {
      const kept = await Promise.all(withdrawals.map(storeWithdrawal));
      return kept.every(Boolean);
    },
    async findReused(note) {
      const uses = note.added.flatMap((line, index) =>
        namesAddedBy(line).map((name) => ({ name, line: `added[${index}]` })),
      );
      const problems: NoteProblem[] = [];
      for (const use of uses) {
        const found = await findWithdrawnName(use);
        if (found === "store_failed") return null;
        if (found) problems.push(found);
      }
      return problems;
    },
  };
}

/** A name that a line of a note adds. */
interface NameUse {
  readonly name: string;
  readonly line: string;
}

/** Lists the names that a line adds, in the form that `nameOf` returns. */
function namesAddedBy(line: AddedLine): string[] {
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

/**
 * Retries a call that exceeds the store's call budget, which a note with many
 * lines can use up.
 */
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
