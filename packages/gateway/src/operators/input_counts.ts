/** Counts of what was received and can't be used, and of unexpected errors. */

/** What a count is of, as the label of the metric. */
export type UnusableInput = "server_entry" | "configuration";

export interface InputCounts {
  count(input: UnusableInput): void;
  totals(): ReadonlyMap<UnusableInput, number>;
}

/** Creates counts that begin at 0, before there are metrics. */
export function createInputCounts(): InputCounts {
  const totals = new Map<UnusableInput, number>([
    ["server_entry", 0],
    ["configuration", 0],
  ]);
  return {
    count: (input) => void totals.set(input, (totals.get(input) ?? 0) + 1),
    totals: () => totals,
  };
}
