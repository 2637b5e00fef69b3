/** Steps that publish notes and wait for them. */
import { randomUUID } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import type { NotePhase } from "@rosemarypin/schemas";
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
    if (status?.phase === "in_force") {
      return report(name, { ...context, phase: "in_force" });
    }
    await pause(POLL_MS);
  }
  const status = await context.admin.noteStatus(number);
  throw new Error(`'${name}' is not in force: ${JSON.stringify(status)}`);
}

type ClaimContext = StepContext & { readonly phase: NotePhase };

/** Each claim counts from its first report. */
function report(name: string, context: ClaimContext): void {
  const { seen, clock, claims, phase } = context;
  const claim = `'${name}' is ${phase}`;
  if (claims.has(claim)) return;
  claims.add(claim);
  const at = clock();
  const withdrawnVersions = withdrawnBy(name, context);
  seen.claims.push({ name, phase, at, withdrawnVersions });
  seen.timeline.push({ at, what: claim });
}

/** Reports all notes up to `number`: what is claimed of it holds for them. */
export function reportUpTo(number: number, context: ClaimContext): void {
  for (const [name, recorded] of context.numbers) {
    if (recorded <= number) report(name, context);
  }
}

function withdrawnBy(name: string, { scenario }: StepContext): string[] {
  const withdrawn = findNote(name, scenario)?.withdrawn ?? [];
  return withdrawn.flatMap((line) =>
    line.kind === "version" ? [line.version] : [],
  );
}
