/** Reads YAML against a schema, with errors that name file, line and key. */
import {
  type Document,
  isMap,
  isNode,
  isScalar,
  LineCounter,
  parseDocument,
} from "yaml";
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
  const plain = toPlain(document);
  if (plain.kind === "broken") {
    const { expected } = plain;
    const problem = { file, line: 1, key: "(syntax)", expected };
    return { kind: "invalid", problems: [problem] };
  }
  const parsed = schema.safeParse(plain.value);
  if (parsed.success) return { kind: "valid", value: parsed.data };
  const problems = parsed.error.issues.flatMap(splitIssue).map((issue) => ({
    file,
    line: lineOf(document, issue.path, lineCounter),
    key: formatKey(issue.path),
    expected: issue.message,
  }));
  return { kind: "invalid", problems };
}

type Plain =
  | { readonly kind: "plain"; readonly value: unknown }
  | { readonly kind: "broken"; readonly expected: string };

/** Aliases that multiply without end throw only when they are resolved. */
function toPlain(document: Document): Plain {
  try {
    return { kind: "plain", value: document.toJS() };
  } catch {
    const expected = "expected aliases that name an anchor, and few of them";
    return { kind: "broken", expected };
  }
}

/** Unknown keys come as one issue of their parent; each has its own line. */
function splitIssue(issue: z.core.$ZodIssue): readonly {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}[] {
  if (issue.code !== "unrecognized_keys") return [issue];
  const message = "unknown key; expected one that the schema lists";
  return issue.keys.map((key) => ({ path: [...issue.path, key], message }));
}

/** One line for people: file, line, key, and what was expected. */
export function formatProblem(problem: FileProblem): string {
  const { file, line, key, expected } = problem;
  return `${file}:${line}: ${key}: ${expected}`;
}

/** The line of a key, or of the nearest parent that the file has. */
function lineOf(
  document: Document,
  path: readonly PropertyKey[],
  lineCounter: LineCounter,
): number {
  for (let length = path.length; length > 0; length--) {
    const node = keyNode(document, path.slice(0, length));
    const start = isNode(node) ? node.range?.[0] : undefined;
    if (start !== undefined) return lineCounter.linePos(start).line;
  }
  return 1;
}

/** The node of a key itself: its value may begin on a later line. */
function keyNode(document: Document, path: readonly PropertyKey[]): unknown {
  const parent = document.getIn(path.slice(0, -1), true);
  const last = path.at(-1);
  if (!isMap(parent)) return document.getIn(path, true);
  const pair = parent.items.find(
    ({ key }) => (isScalar(key) ? key.value : key) === last,
  );
  return pair?.key;
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
