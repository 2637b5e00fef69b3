/** Rows of a run: kept as JSON, summed up over seeds, compared. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import type { Figures } from "./figures.ts";

/** Figures of one policy at one load with one seed. */
export interface Row extends Figures {
  readonly policy: string;
  /** Load offered, over the bound. */
  readonly load: number;
  readonly seed: number;
}

/** How long a policy took to come back after the loss of an engine. */
export interface RecoveryRow {
  readonly policy: string;
  readonly seed: number;
  /** Until 95% of the new bound is reached, or `null` if it never was. */
  readonly recoveryMs: number | null;
  /** Answers that ended without being whole. */
  readonly broken: number;
}

/** Everything that one run of the bench found. */
export interface Results {
  readonly bound: number;
  readonly rows: readonly Row[];
  readonly recoveries: readonly RecoveryRow[];
}

/** A figure over several seeds. */
export interface Spread {
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
}

/** A figure's name, how it reads, and which way is better. */
export interface Column {
  readonly key: keyof Figures;
  readonly title: string;
  readonly format: (value: number) => string;
}

const percent = (value: number) => `${(value * 100).toFixed(1)}%`;
const milliseconds = (value: number) => `${Math.round(value)} ms`;
const plain = (value: number) => value.toFixed(3);

/** Columns of the table, in the order that users weigh them. */
export const columns: readonly Column[] = [
  { key: "goodputShare", title: "goodput", format: percent },
  { key: "throughputShare", title: "throughput", format: percent },
  { key: "firstTokenP95Ms", title: "first p95", format: milliseconds },
  { key: "betweenTokensP95Ms", title: "between p95", format: milliseconds },
  { key: "fairness", title: "fairness", format: plain },
  { key: "smallServedShare", title: "small served", format: percent },
  { key: "refusedShare", title: "refused", format: percent },
  { key: "wastedShare", title: "wasted", format: percent },
  { key: "failed", title: "failed", format: String },
];

/** Median and extremes of a figure. */
export function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    median: sorted[Math.floor(sorted.length / 2)] ?? 0,
    lowest: sorted[0] ?? 0,
    highest: sorted.at(-1) ?? 0,
  };
}

/** The spread of one figure of one policy at one load. */
export function spreadAt(
  results: Results,
  place: {
    readonly policy: string;
    readonly load: number;
    readonly key: keyof Figures;
  },
): Spread {
  const rows = results.rows.filter(
    ({ policy, load }) => policy === place.policy && load === place.load,
  );
  return spreadOf(rows.map((row) => row[place.key]));
}

/** Distinct values in the order of their first appearance. */
export function distinct<T>(values: readonly T[]): T[] {
  return [...new Set(values)];
}

/** A table of medians, with the spread where seeds differ. */
export function renderTable(results: Results): string {
  const places = distinct(
    results.rows.map(({ policy, load }) => `${policy} ${load}`),
  );
  const lines = places.map((place) => {
    const [policy = "", load = ""] = place.split(" ");
    const cells = columns.map(({ key, format }) => {
      const at = { policy, load: Number(load), key };
      const { median, lowest, highest } = spreadAt(results, at);
      const isSame = format(lowest) === format(highest);
      return isSame
        ? format(median)
        : `${format(median)} (${format(lowest)}-${format(highest)})`;
    });
    return [policy, load, ...cells];
  });
  const titles = ["policy", "load", ...columns.map(({ title }) => title)];
  return alignColumns([titles, ...lines]);
}

/** Medians of two runs side by side. */
export function renderComparison(before: Results, after: Results): string {
  const places = distinct(
    after.rows.map(({ policy, load }) => `${policy} ${load}`),
  );
  const lines = places.flatMap((place) => {
    const [policy = "", load = ""] = place.split(" ");
    return columns.map(({ key, title, format }) => {
      const at = { policy, load: Number(load), key };
      const old = spreadAt(before, at).median;
      const now = spreadAt(after, at).median;
      return [policy, load, title, format(old), format(now)];
    });
  });
  const titles = ["policy", "load", "figure", "before", "after"];
  return alignColumns([titles, ...lines]);
}

/** One line for each recovery that was measured. */
export function renderRecoveries(results: Results): string {
  return results.recoveries
    .map(({ policy, seed, recoveryMs, broken }) => {
      const time = recoveryMs === null ? "not in time" : `${recoveryMs} ms`;
      return `recovery ${policy} seed ${seed}: ${time}, broken answers ${broken}`;
    })
    .join("\n");
}

export function writeResults(file: string, results: Results): void {
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, `${JSON.stringify(results, null, 2)}\n`);
}

export function readResults(file: string): Results {
  return JSON.parse(readFileSync(file, "utf8")) as Results;
}

function alignColumns(lines: readonly (readonly string[])[]): string {
  const widths = (lines[0] ?? []).map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
