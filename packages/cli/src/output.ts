/** Tables for people, JSON for programs. */
import { styleText } from "node:util";

/** Where a command writes, and in which form. */
export interface Output {
  readonly json: boolean;
  readonly colour: boolean;
  write(text: string): void;
  /** Says why the command failed. */
  writeError(text: string): void;
  /** Replaces the line in progress; `null` ends it. Only on a terminal. */
  progress(text: string | null): void;
}

/** Creates the output of a process. */
export function createOutput(options: {
  /** `undefined` leaves the choice to the terminal. */
  readonly json: boolean | undefined;
}): Output {
  const isTerminal = process.stdout.isTTY === true;
  const showsProgress = process.stderr.isTTY === true;
  const noColour = process.env.NO_COLOR ?? "";
  return {
    json: options.json ?? !isTerminal,
    colour: isTerminal && noColour === "",
    write: (text) => void process.stdout.write(`${text}\n`),
    writeError: (text) => void process.stderr.write(`${text}\n`),
    progress(text) {
      if (!showsProgress) return;
      process.stderr.write(text === null ? "\n" : `\r\u001b[K${text}`);
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

export type Colour = "green" | "yellow" | "red" | "gray" | "bold";

const stateColours: Readonly<Record<string, Colour>> = {
  confirmed: "green",
  alive: "green",
  ready: "green",
  in_force: "green",
  met: "green",
  answered: "green",
  behind: "yellow",
  suspect: "yellow",
  leaving: "yellow",
  accepted: "yellow",
  recorded: "yellow",
  burning: "yellow",
  unheard: "red",
  unreachable: "red",
  withdrawn: "red",
  "burning fast": "red",
  stopped: "gray",
  left: "gray",
  "no events": "gray",
};

/** Colours a text on a terminal, and leaves it as it is elsewhere. */
export function paint(output: Output, colour: Colour, text: string): string {
  if (!output.colour) return text;
  return styleText(colour, text, { validateStream: false });
}

/** Colours a known state by how good it is. */
export function paintState(output: Output, state: string): string {
  const colour = stateColours[state.trim()];
  return colour === undefined ? state : paint(output, colour, state);
}

/** Lays rows out in columns under their titles; states get their colour. */
export function table(
  output: Output,
  options: {
    readonly titles: readonly string[];
    readonly rows: readonly (readonly (string | number)[])[];
  },
): string {
  const { titles, rows } = options;
  const lines = [titles, ...rows].map((row) => row.map(String));
  const widths = titles.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length)),
  );
  const padded = lines.map((line) =>
    line.map((cell, column) =>
      column === titles.length - 1 ? cell : cell.padEnd(widths[column] ?? 0),
    ),
  );
  const [head = [], ...body] = padded;
  return [
    paint(output, "bold", head.join("  ")),
    ...body.map((line) =>
      line
        .map((cell) => paintState(output, cell))
        .join("  ")
        .trimEnd(),
    ),
  ].join("\n");
}
