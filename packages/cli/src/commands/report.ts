/** The command that reports service-level burn. */
import { writeFileSync } from "node:fs";
import {
  type BurnLine,
  type BurnReport,
  computeBurn,
  formatRate,
  formatShare,
  objectiveTitles,
  renderBurnPage,
  stateTitles,
} from "@rosemarypin/reports";
import {
  type ServiceLevels,
  serviceLevelsSchema,
  statusSchema,
} from "@rosemarypin/schemas";
import type { AdminClient } from "../admin_client.ts";
import type { Command } from "../command.ts";
import { CommandError, usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { type Output, paint, show, table } from "../output.ts";

const DEFAULT_TOP = 10;

const burn: Command = {
  name: "report burn",
  summary: "report how fast the service-level objectives burn their budgets",
  flags: ["html", "top"],
  help: `Usage: rosemarypin report burn [--html FILE] [--top N] [--json]

Asks every instance in --admin for its counts of the last hour, and sums them:
events, missed ones, burn rates over five minutes and over an hour, and the
share of the hour's error budget that is left; then the ${DEFAULT_TOP} (or N) largest
spenders by organisation and model or service. A burn rate of 1 uses up the
budget exactly. Instances whose counts are missing are named. --html writes
one page with plots.`,
  async run({ admin, output, flags }) {
    const { top = DEFAULT_TOP, html } = flags;
    if (!Number.isInteger(top) || top < 1) {
      throw usageError("--top takes a number from 1");
    }
    const value = await readBurn(admin, top);
    if (html !== undefined) writePage(html, value);
    show(output, value, { render: () => renderBurn(value, output) });
    return exitCodes.ok;
  },
};

/** Commands that report. */
export const reportCommands: readonly Command[] = [burn];

async function readBurn(admin: AdminClient, top: number): Promise<BurnReport> {
  const answers = await admin.getAll("/v1/service-levels", serviceLevelsSchema);
  const parts: ServiceLevels[] = [];
  const missing: { instance: string; reason: string }[] = [];
  for (const [url, answer] of answers) {
    if (answer.kind === "answer") parts.push(answer.value);
    else missing.push({ instance: url, reason: answer.reason });
  }
  if (parts.length === 0) {
    const lines = missing.map(
      ({ instance, reason }) => `${instance}: ${reason}`,
    );
    throw new CommandError(
      `no instance answered:\n  ${lines.join("\n  ")}\ncheck --admin, or try again`,
      exitCodes.unavailable,
    );
  }
  const unasked = await findUnasked(admin, parts);
  return computeBurn(parts, { missing: [...missing, ...unasked], top });
}

/** Instances that their peers know and --admin does not name. */
async function findUnasked(
  admin: AdminClient,
  parts: readonly ServiceLevels[],
): Promise<BurnReport["missing"]> {
  const { instances } = await admin.get("/v1/status", statusSchema);
  const counted = new Set(parts.map(({ instance }) => instance));
  const reason = "known to its peers, but no answer came from it; see --admin";
  return instances
    .filter(({ id, state }) => state !== "left" && !counted.has(id))
    .map(({ id }) => ({ instance: id, reason }));
}

function writePage(file: string, value: BurnReport): void {
  try {
    writeFileSync(file, renderBurnPage(value));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw usageError(`${file} cannot be written: ${reason}`);
  }
}

function renderBurn(value: BurnReport, output: Output): string {
  const gaps = value.missing.map(({ instance, reason }) =>
    paint(output, "yellow", `not in the sums: ${instance}: ${reason}`),
  );
  const objectives = table(output, {
    titles: [
      "objective",
      "target",
      "events",
      "missed",
      "burn 5 min",
      "burn 1 h",
      "budget left",
      "state",
    ],
    rows: value.objectives.map((line) => [
      objectiveTitles[line.objective],
      formatShare(line.target),
      ...cells(line),
      formatShare(line.budgetLeft),
      stateTitles[line.state],
    ]),
  });
  const series = table(output, {
    titles: [
      "objective",
      "organisation",
      "name",
      "events",
      "missed",
      "burn 5 min",
      "burn 1 h",
      "state",
    ],
    rows: value.series.map((line) => [
      objectiveTitles[line.objective],
      line.organisation,
      line.name,
      ...cells(line),
      stateTitles[line.state],
    ]),
  });
  const counted = `counts of ${value.instances.length} instances`;
  return [counted, ...gaps, "", objectives, "", series].join("\n");
}

function cells({ slow, fast }: BurnLine): (string | number)[] {
  return [slow.total, slow.missed, formatRate(fast), formatRate(slow)];
}
