/** Watches a note until it is in force. */
import { type NoteStatus, noteStatusSchema } from "@rosemarypin/schemas";
import type { AdminClient } from "./admin_client.ts";
import { CommandError } from "./command_error.ts";
import { exitCodes } from "./exit_codes.ts";
import { type Output, show, table } from "./output.ts";

const POLL_MS = 200;
const LARGEST_NAME_COUNT = 5;

export interface WaitOptions {
  readonly admin: AdminClient;
  readonly output: Output;
  readonly timeoutSeconds: number;
}

/** Resolves to the exit code; shows who confirmed meanwhile. */
export async function waitInForce(
  number: number,
  options: WaitOptions,
): Promise<number> {
  const { output, timeoutSeconds } = options;
  const end = Date.now() + timeoutSeconds * 1_000;
  let latest: NoteStatus | null = null;
  while (true) {
    const read = await readStatus(number, { ...options, end });
    latest = read ?? latest;
    if (latest) output.progress(progressLine(latest));
    const isOver = latest?.phase === "in_force" || Date.now() >= end;
    if (isOver && latest) return finish(latest, output);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** An instance that is away for a moment does not end the wait. */
async function readStatus(
  number: number,
  options: WaitOptions & { readonly end: number },
): Promise<NoteStatus | null> {
  try {
    const path = `/v1/notes/${number}/status`;
    return await options.admin.get(path, noteStatusSchema);
  } catch (error) {
    const isAway =
      error instanceof CommandError && error.exitCode === exitCodes.unavailable;
    if (!isAway || Date.now() >= options.end) throw error;
    options.output.progress(`note ${number}: no instance answers, trying on`);
    return null;
  }
}

function finish(status: NoteStatus, output: Output): number {
  output.progress(null);
  show(output, status, { render: () => renderStatus(status, output) });
  if (status.phase === "in_force") return exitCodes.ok;
  output.writeError(
    `rosemarypin: note ${status.number} is not in force yet: ` +
      `${status.phase}. Not confirmed: ${unconfirmed(status).join(", ")}. ` +
      "Look at 'rosemarypin instances', and wait on with 'note wait'.",
  );
  return exitCodes.notInTime;
}

function unconfirmed({ instances, engines }: NoteStatus): string[] {
  const names = [...instances, ...engines]
    .filter(({ state }) => !isDone(state))
    .map(({ id }) => id);
  const others = names.length - LARGEST_NAME_COUNT;
  const shown = names.slice(0, LARGEST_NAME_COUNT);
  return others > 0 ? [...shown, `${others} more`] : shown;
}

function isDone(state: string): boolean {
  return state !== "behind" && state !== "unheard";
}

function progressLine(status: NoteStatus): string {
  const { instances, engines, number, phase } = status;
  const count = (lines: readonly { readonly state: string }[]) =>
    `${lines.filter(({ state }) => isDone(state)).length}/${lines.length}`;
  const line = `note ${number}: ${phase}, instances ${count(instances)}, engines ${count(engines)}`;
  const waiting = unconfirmed(status);
  return waiting.length > 0
    ? `${line}, waiting for ${waiting.join(", ")}`
    : line;
}

function renderStatus(status: NoteStatus, output: Output): string {
  const rows = [
    ...status.instances.map((line) => ["instance", ...cells(line)]),
    ...status.engines.map((line) => ["engine", ...cells(line)]),
  ];
  const titles = ["kind", "name", "domain", "state", "detail"];
  return `${table(output, { titles, rows })}\n${progressLine(status)}`;
}

function cells(line: {
  readonly id: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly detail: string;
}): string[] {
  return [line.id, line.failureDomain, line.state, line.detail];
}
