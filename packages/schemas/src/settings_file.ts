/** Parses YAML by a schema; errors name the file, the line and the key. */
import {
  type Document,
  isMap,
  isNode,
  isScalar,
  LineCounter,
  parseDocument,
} from "yaml";
import type { z } from "zod";

/** One error in a file. */
export interface FileProblem {
  readonly file: string;
  /** Line number, counted from 1. */
  readonly line: number;
  /** Path of the key, such as `engines[2].address.port`. */
  readonly key: string;
  readonly expected: string;
}

export type FileResult<T> =
  | { readonly kind: "valid"; readonly value: T }
  | { readonly kind: "invalid"; readonly problems: readonly FileProblem[] };

/** Parses `text` as YAML and validates it; `file` is only used in errors. */
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
  const converted = convertToPlainValue(document);
  if (converted.kind === "broken") {
    const { expected } = converted;
    const problem = { file, line: 1, key: "(syntax)", expected };
    return { kind: "invalid", problems: [problem] };
  }
  const parsed = schema.safeParse(converted.value);
  if (parsed.success) return { kind: "valid", value: parsed.data };
  const problems = parsed.error.issues
    .flatMap(splitUnknownKeys)
    .map((issue) => ({
      file,
      line: findLine(document, issue.path, lineCounter),
      key: formatKey(issue.path),
      expected: issue.message,
    }));
  return { kind: "invalid", problems };
}

type ConversionResult =
  | { readonly kind: "plain"; readonly value: unknown }
  | { readonly kind: "broken"; readonly expected: string };

/**
 * Converts a document to a plain value. Unresolved aliases, and aliases that
 * expand to an excessive size, throw only here rather than in the parser.
 */
function convertToPlainValue(document: Document): ConversionResult {
  try {
    return { kind: "plain", value: document.toJS() };
  } catch {
    const expected =
      "expected aliases of existing anchors, within the size limit of aliases";
    return { kind: "broken", expected };
  }
}

/** Splits the single issue for all unknown keys of a parent, one per key. */
function splitUnknownKeys(issue: z.core.$ZodIssue): readonly {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}[] {
  if (issue.code !== "unrecognized_keys") return [issue];
  const message = "unknown key; expected one that the schema lists";
  return issue.keys.map((key) => ({ path: [...issue.path, key], message }));
}

/** Formats a problem as one line: file, line, key and expected value. */
export function formatProblem(problem: FileProblem): string {
  const { file, line, key, expected } = problem;
  return `${file}:${line}: ${key}: ${expected}`;
}

/** Finds the line of a key, or of its nearest ancestor in the file. */
function findLine(
  document: Document,
  path: readonly PropertyKey[],
  lineCounter: LineCounter,
): number {
  for (let length = path.length; length > 0; length--) {
    const node = findKeyNode(document, path.slice(0, length));
    const start = isNode(node) ? node.range?.[0] : undefined;
    if (start !== undefined) return lineCounter.linePos(start).line;
  }
  return 1;
}

/** Finds the node of a key, whose value may start on a later line. */
function findKeyNode(
  document: Document,
  path: readonly PropertyKey[],
): unknown {
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
