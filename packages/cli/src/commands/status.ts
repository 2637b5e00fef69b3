/** Commands that show the deployment. */
import { type Status, statusSchema } from "@rosemarypin/schemas";
import { z } from "zod";
import type { Command } from "../command.ts";
import { usageError } from "../command_error.ts";
import { exitCodes } from "../exit_codes.ts";
import { type Output, paintState, show, table } from "../output.ts";

const status: Command = {
  name: "status",
  summary: "show the note in use and how far it has come",
  help: "Usage: rosemarypin status [--json]",
  async run({ admin, output }) {
    const value = await admin.get("/v1/status", statusSchema);
    show(output, value, {
      render: ({ deployment, note, phase, instances, backends, ...more }) =>
        [
          `deployment ${deployment}, note ${note} (${paintState(output, phase)})`,
          `instances  ${count(instances, "alive")} of ${instances.length} alive`,
          `backends   ${count(backends, "ready")} of ${backends.length} ready`,
          ...renderClassLevels(output, more),
          ...renderDemand(output, more),
          ...renderQuarantine(output, more),
        ].join("\n"),
    });
    return exitCodes.ok;
  },
};

const instances: Command = {
  name: "instances",
  summary: "list the instances",
  help: "Usage: rosemarypin instances [--json]",
  async run({ admin, output }) {
    const value = await admin.get("/v1/status", statusSchema);
    show(output, value.instances, {
      render: (rows) =>
        table(output, {
          titles: [
            "instance",
            "domain",
            "state",
            "note",
            "load",
            "heard ms ago",
          ],
          rows: rows.map((row) => [
            row.id,
            row.failureDomain,
            row.draining ? `${row.state}, draining` : row.state,
            row.note,
            row.load,
            Math.round(row.heardAgoMs),
          ]),
        }),
    });
    return exitCodes.ok;
  },
};

const backends: Command = {
  name: "backends",
  summary: "list the backend servers",
  help: "Usage: rosemarypin backends [--json]",
  async run({ admin, output }) {
    const value = await admin.get("/v1/status", statusSchema);
    show(output, value.backends, {
      render: (rows) =>
        table(output, {
          titles: [
            "server",
            "kind",
            "domain",
            "state",
            "in flight",
            "load",
            "holds",
          ],
          rows: rows.map((row) => [
            row.id,
            row.kind,
            row.failureDomain,
            row.state,
            row.inFlight,
            row.load,
            row.holds.join(" "),
          ]),
        }),
    });
    return exitCodes.ok;
  },
};

const drain: Command = {
  name: "drain",
  summary: "make the instance at --admin unready, ahead of its stop",
  help: `Usage: rosemarypin drain --admin URL

Makes one instance unready at once, so that the balancer sends it nothing new.
Work in progress goes on. It stays up until SIGTERM stops it, and cannot be
made ready again but by a restart.`,
  async run({ admin, output }) {
    // With several addresses, the next instance would be drained in place of
    // one that does not answer.
    if (admin.urls.length !== 1) {
      throw usageError("name the one instance to drain with --admin URL");
    }
    const schema = z.object({ draining: z.boolean() });
    const value = await admin.post("/v1/drain", { body: {}, schema });
    show(output, value, { render: () => "the instance is draining" });
    return exitCodes.ok;
  },
};

const releasePart: Command = {
  name: "quarantine release",
  summary: "send requests with a prompt part again that ended engines",
  help: `Usage: rosemarypin quarantine release SERVICE PART --admin URL

Requests with a part in their prompts under which engines have ended are
refused by all instances; 'rosemarypin status' lists these parts. This sends
them again everywhere at once. If engines end under the part again, it goes back
into quarantine.`,
  words: 2,
  async run({ admin, output, words: [service, part] }) {
    if (!service || !part) throw usageError("name the service and the part");
    const value = await admin.post("/v1/quarantine/release", {
      body: { service, part },
      schema: z.object({ released: z.boolean() }),
    });
    show(output, value, { render: () => `part ${part} is released` });
    return exitCodes.ok;
  },
};

/** Commands that show, drain or release. */
export const statusCommands: readonly Command[] = [
  status,
  instances,
  backends,
  drain,
  releasePart,
];

/** Returns nothing if no model has requests of several classes. */
function renderClassLevels(
  output: Output,
  { classLevels = [] }: Pick<Status, "classLevels">,
): string[] {
  if (classLevels.length === 0) return [];
  const titles = ["service", "class", "load limit", "reserve"];
  const rows = classLevels.map((row) => [
    row.service,
    row.priority,
    row.loadLimit.toFixed(2),
    row.reserve.toFixed(2),
  ]);
  return ["", table(output, { titles, rows })];
}

/** Returns nothing if no demand is known. */
function renderDemand(
  output: Output,
  { demand = [] }: Pick<Status, "demand">,
): string[] {
  if (demand.length === 0) return [];
  const titles = ["service", "domain", "class", "tokens/s", "waiting", "held"];
  const rows = demand.map((row) => [
    row.service,
    row.failureDomain,
    row.priority,
    Math.round(row.arrivingPerSecond),
    Math.round(row.waiting),
    Math.round(row.held),
  ]);
  return ["", table(output, { titles, rows })];
}

/** Returns nothing if no part of prompts is in quarantine. */
function renderQuarantine(
  output: Output,
  { quarantine = [] }: Pick<Status, "quarantine">,
): string[] {
  if (quarantine.length === 0) return [];
  const titles = ["service", "prompt part", "engines", "since", "next trial"];
  const rows = quarantine.map((row) => [
    row.service,
    row.part,
    row.engines.length,
    new Date(row.since).toISOString(),
    row.nextTrialAt === null
      ? "none: release it"
      : new Date(row.nextTrialAt).toISOString(),
  ]);
  return ["", table(output, { titles, rows })];
}

function count(
  rows: readonly { readonly state: string }[],
  state: string,
): number {
  return rows.filter((row) => row.state === state).length;
}
