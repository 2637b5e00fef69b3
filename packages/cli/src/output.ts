/** Tables for people, JSON for programs. */

/** Where a command writes, and in which form. */
export interface Output {
  readonly json: boolean;
  readonly colour: boolean;
  readonly isTerminal: boolean;
  write(text: string): void;
  /** Replaces the line in progress; only on a terminal. */
  progress(text: string): void;
}

/** Creates the output of a process's standard output. */
export function createOutput(options: { readonly json: boolean }): Output {
  const isTerminal = process.stdout.isTTY === true;
  return {
    json: options.json,
    isTerminal,
    colour: isTerminal && process.env.NO_COLOR === undefined,
    write: (text) => void process.stdout.write(`${text}\n`),
    progress(text) {
      if (isTerminal) process.stderr.write(`\r\u001b[K${text}`);
    },
  };
}

/** Writes `value` as JSON, or what `render` makes of it. */
export function show<T>(
  output: Output,
  value: T,
  options: { readonly render: (value: T) => string },
): void {
  output.write(
    output.json ? JSON.stringify(value, null, 2) : options.render(value),
  );
}

/** Lays rows out in columns under their titles. */
export function table(
  titles: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [titles, ...rows].map((row) => row.map(String));
  const widths = titles.map((_, column) =>
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
