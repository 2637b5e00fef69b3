/** Reads YAML against a schema, with errors that name file, line and key. */
import { LineCounter, parseDocument } from "yaml";
import type { z } from "zod";

/** One thing wrong with a file. */
export interface FileProblem {
  readonly file: string;
  /** Line, from 1. */
  readonly line: number;
  /** Path of the key, such as `engines[2].address.port`. */
  readonly key: string;
  readonly expected: string;
}

export type FileResult<T> =
  | { readonly kind: "valid"; readonly value: T }
  | { readonly kind: "invalid"; readonly problems: readonly FileProblem[] };

/** Parses `text` as YAML and checks it; `file` is only for the errors. */
export function parseYamlFile<S extends z.ZodType>(
  schema: S,
  options: { readonly text: string; readonly file: string },
): FileResult<z.infer<S>> {
  const { text, file } = options;
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  if (document.errors.length > 0) {
    const problems = document.errors.map((error) => ({
      file,
      line: lineCounter.linePos(error.pos[0]).line,
      key: "(syntax)",
      expected: error.message.split("\n")[0] ?? "valid YAML",
    }));
    return { kind: "invalid", problems };
  }
  const parsed = schema.safeParse(document.toJS());
  if (parsed.success) return { kind: "valid", value: parsed.data };
  const problems = parsed.error.issues.map((issue) => ({
    file,
    line: lineOf(document, issue.path, lineCounter),
    key: formatKey(issue.path),
    expected: issue.message,
  }));
  return { kind: "invalid", problems };
}

/** One line for people: file, line, key, and what was expected. */
export function formatProblem(problem: FileProblem): string {
  const { file, line, key, expected } = problem;
  return `${file}:${line}: ${key}: ${expected}`;
}

/** The line of a key, or of the nearest parent that the file has. */
function lineOf(
  document: ReturnType<typeof parseDocument>,
  path: readonly PropertyKey[],
  lineCounter: LineCounter,
): number {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    const range = (node as { range?: [number, number, number] } | undefined)
      ?.range;
    if (range) return lineCounter.linePos(range[0]).line;
  }
  return 1;
}

function formatKey(path: readonly PropertyKey[]): string {
  if (path.length === 0) return "(whole file)";
  return path
    .map((part) =>
      typeof part === "number" ? `[${part}]` : `.${String(part)}`,
    )
    .join("")
    .replace(/^\./, "");
}
