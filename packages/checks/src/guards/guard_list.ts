/** The committed list of guards, as `guards.yaml` holds it. */
import { readFileSync } from "node:fs";
import { formatProblem, parseYamlFile } from "@rosemarypin/schemas";
import { z } from "zod";

const guardSchema = z.strictObject({
  /** What the guard holds. */
  name: z.string().min(1),
  file: z.string().min(1),
  /** Text that stands exactly once in the file. */
  text: z.string().min(1),
  /** What switches the guard off. */
  replacement: z.string(),
  testFile: z.string().min(1),
  /** Name, or part of it, of the test that must fail then. */
  test: z.string().min(1),
});

/** A guard, how to switch it off, and the test that holds it. */
export type Guard = z.infer<typeof guardSchema>;

const guardListSchema = z.strictObject({
  guards: z.array(guardSchema).min(12),
});

/** Reads the list; throws with file, line and key of each mistake. */
export function readGuards(file: string): readonly Guard[] {
  const text = readFileSync(file, "utf8");
  const result = parseYamlFile(guardListSchema, { text, file });
  if (result.kind === "valid") return result.value.guards;
  throw new Error(result.problems.map(formatProblem).join("\n"));
}

/** The source without the guard; throws unless its text stands there once. */
export function switchOff(guard: Guard, source: string): string {
  const parts = source.split(guard.text);
  if (parts.length === 2) return parts.join(guard.replacement);
  const times = parts.length - 1;
  throw new Error(`the text of '${guard.name}' stands ${times} times`);
}
