/** Steps that publish notes and wait for them. */
import { randomUUID } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import type { StepContext } from "./run_step.ts";
import type { Scenario } from "./scenario_schema.ts";
import { standardNotes } from "./standard_notes.ts";

const POLL_MS = 100;

/** Publishes a note on top of the highest that was recorded. */
export async function publish(
  name: string,
  context: StepContext,
): Promise<void> {
  const note = findNote(name, context.scenario);
  if (!note) throw new Error(`the scenario has no note '${name}'`);
  const supersedes = Math.max(0, ...context.numbers.values());
  const result = await context.admin.publish({
    ...note,
    supersedes,
    publishId: publishIdOf(name, context),
  });
  const what = "number" in result ? `is note ${result.number}` : result.code;
  context.seen.timeline.push({ at: context.clock(), what: `${name}: ${what}` });
  if (!("number" in result)) return;
  context.numbers.set(name, result.number);
  const withdrawnVersions = withdrawnBy(name, context);
  if (withdrawnVersions.length === 0) return;
  context.seen.recalls.push({ name, at: context.clock(), withdrawnVersions });
}

function publishIdOf(name: string, { publishIds }: StepContext): string {
  const publishId = publishIds.get(name) ?? randomUUID();
  publishIds.set(name, publishId);
  return publishId;
}

function findNote(name: string, scenario: Scenario) {
  return scenario.notes[name] ?? standardNotes[name];
}

/** Waits until any instance reports a note in force; throws after a while. */
export async function waitInForce(
  name: string,
  context: StepContext & { readonly withinSeconds: number },
): Promise<void> {
  const number = context.numbers.get(name);
  if (number === undefined) throw new Error(`note '${name}' was not recorded`);
  const end = context.clock() + context.withinSeconds * 1_000;
  while (context.clock() < end) {
    const status = await context.admin.noteStatus(number);
    if (status?.phase === "in_force") return reportInForce(name, context);
    await pause(POLL_MS);
  }
  const status = await context.admin.noteStatus(number);
  throw new Error(`'${name}' is not in force: ${JSON.stringify(status)}`);
}

function reportInForce(name: string, context: StepContext): void {
  const { seen, clock, inForce } = context;
  if (inForce.has(name)) return;
  inForce.add(name);
  const at = clock();
  seen.inForce.push({
    name,
    at,
    withdrawnVersions: withdrawnBy(name, context),
  });
  seen.timeline.push({ at, what: `'${name}' is in force` });
}

/** Reports all notes up to `number`: what is in force holds them too. */
export function reportUpTo(number: number, context: StepContext): void {
  for (const [name, recorded] of context.numbers) {
    if (recorded <= number) reportInForce(name, context);
  }
}

function withdrawnBy(name: string, { scenario }: StepContext): string[] {
  const withdrawn = findNote(name, scenario)?.withdrawn ?? [];
  return withdrawn.flatMap((line) =>
    line.kind === "version" ? [line.version] : [],
  );
}
