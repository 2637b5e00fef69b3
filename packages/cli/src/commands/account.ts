/** The command that adds up from logs what callers lost. */
import type { CallerOutcomes } from "@rosemarypin/platform";
import type { Command } from "../command.ts";
import { CommandError, usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { readText } from "../files.ts";
import { readLog } from "../log_story.ts";
import {
  type AccountRow,
  accountForLosses,
  type GroupRow,
  type KindsRow,
  LATE_SHARE,
  type LossAccount,
  type SecondRow,
} from "../loss_account.ts";
import type { PhaseRow } from "../loss_phases.ts";
import { show } from "../output.ts";

/** Log files that one command reads. */
const MOST_FILES = 512;
const MOST_SUBJECTS = 15;

/** The account, beside what callers themselves saw. */
interface FullAccount extends LossAccount {
  /** Lost by what callers saw; absent where that was not told. */
  readonly lostByCallers?: number;
  /** Of these, what logs don't show: requests that reached no instance, less
   * those that a second try saved. */
  readonly lostUnseen?: number;
}

const account: Command = {
  name: "account",
  summary: "add up from logs what callers lost, and what began it",
  words: MOST_FILES,
  flags: ["outcomes"],
  help: `Usage: rosemarypin account FILE... [--outcomes REPORT]

Reads logs of all instances and adds up the answers that came late or not at
all: by the way they were lost, by what began it (an engine, an instance), by
class (priority), route, organisation and failure domain, and by second. It also
shows where late and broken answers spent their time: until they were sent, at
engines, until a lost engine was noticed, until they had another one, and until
the next event. In the tables of class, route and organisation, requests counts
all that came in, and returned those of callers that came back after a refusal.
A late answer counts as ${1 - LATE_SHARE} of a lost one. With --outcomes, the report of what
callers saw, the difference is shown too: requests that reached
no instance, less those that a second try saved.`,
  async run({ output, words, flags }) {
    if (words.length === 0) throw usageError("account needs a log file");
    const lines = words.flatMap((file) => readLog(file, readText(file)));
    const counted = accountForLosses(lines);
    if (counted.answers === 0) {
      throw usageError("these logs tell of no request (another version?)");
    }
    const full: FullAccount =
      flags.outcomes === undefined
        ? counted
        : withOutcomes(counted, await readOutcomes(flags.outcomes));
    show(output, full, { render });
    return exitCodes.ok;
  },
};

/** The command `account`. */
export const accountCommands: readonly Command[] = [account];

async function readOutcomes(file: string): Promise<CallerOutcomes[]> {
  const text = readText(file);
  const { decodeSimulatedDay } = await import("@rosemarypin/platform");
  try {
    return decodeSimulatedDay(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(`${file} is no report: ${reason}`, exitCodes.usage);
  }
}

function withOutcomes(
  counted: LossAccount,
  outcomes: readonly CallerOutcomes[],
): FullAccount {
  const lostByCallers = outcomes.reduce(
    (sum, { late, refused, failed }) =>
      sum + late * (1 - LATE_SHARE) + refused + failed,
    0,
  );
  const lostUnseen = lostByCallers - counted.lost;
  return { ...counted, lostByCallers, lostUnseen };
}

function render(full: FullAccount): string {
  const { answers, lost, lostByCallers, lostUnseen } = full;
  const parts = [
    `${answers} requests, ${lost.toFixed(1)} lost`,
    ...(lostByCallers === undefined || lostUnseen === undefined
      ? []
      : [
          `by callers ${lostByCallers.toFixed(1)}, unseen ${lostUnseen.toFixed(1)}`,
        ]),
    renderTable("how", full.byKind),
    renderTable("begun by", full.byOrigin),
    renderTable("at", full.bySubject.slice(0, MOST_SUBJECTS)),
    renderGroups("class", full.byPriority),
    renderGroups("route", full.byRoute),
    renderGroups("organisation", full.byOrganisation),
    renderKinds("domain", full.byDomain),
    renderPhases(full.phases),
    renderSeconds(full.bySecond),
  ];
  return parts.join("\n\n");
}

function renderTable(title: string, rows: readonly AccountRow[]): string {
  const width = Math.max(title.length, ...rows.map(({ name }) => name.length));
  const lines = rows.map(
    ({ name, answers, lost }) =>
      `${name.padEnd(width)}  ${String(answers).padStart(7)}  ${lost.toFixed(1).padStart(7)}`,
  );
  return [`${title.padEnd(width)}  answers     lost`, ...lines].join("\n");
}

function renderGroups(title: string, rows: readonly GroupRow[]): string {
  const header = ["requests", "answers", "lost", "refused", "returned"];
  const width = Math.max(title.length, ...rows.map(({ name }) => name.length));
  const lines = rows.map((row) => {
    const { requests, answers, lost, refused, returned } = row;
    const cells = [requests, answers, lost.toFixed(1), refused, returned];
    return [row.name.padEnd(width), ...cells.map(padCell)].join("  ");
  });
  const titles = [title.padEnd(width), ...header.map(padCell)];
  return [titles.join("  "), ...lines].join("\n");
}

function renderKinds(title: string, rows: readonly KindsRow[]): string {
  const width = Math.max(title.length, ...rows.map(({ name }) => name.length));
  const lines = rows.map(
    ({ name, requests, answers, lost, byKind }) =>
      `${name.padEnd(width)}  ${[requests, answers, lost.toFixed(1)].map(padCell).join("  ")}  ${listRows(byKind)}`,
  );
  const titles = ["requests", "answers", "lost"].map(padCell);
  return [`${title.padEnd(width)}  ${titles.join("  ")}`, ...lines].join("\n");
}

function renderSeconds(rows: readonly SecondRow[]): string {
  const parts = rows.map(({ byDomain, ...row }) => ({
    ...row,
    byKind: [...row.byKind, ...byDomain],
  }));
  return renderKinds("second", parts);
}

function listRows(rows: readonly AccountRow[]): string {
  return rows.map(({ name, lost }) => `${name} ${lost.toFixed(1)}`).join(", ");
}

function renderPhases(rows: readonly PhaseRow[]): string {
  const width = Math.max(5, ...rows.map(({ name }) => name.length));
  const lines = rows.map(({ name, answers, p50, p95 }) =>
    [name.padEnd(width), ...[answers, p50, p95].map(padCell)].join("  "),
  );
  const titles = ["answers", "ms, p50", "ms, p95"].map(padCell);
  return [["phase".padEnd(width), ...titles].join("  "), ...lines].join("\n");
}

function padCell(cell: string | number): string {
  return String(cell).padStart(8);
}
