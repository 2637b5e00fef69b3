/**
 * Adds up from logs what callers lost: answers that came late or not at all,
 * by the way they were lost, by the engine or instance that began it, by class,
 * route, organisation and failure domain, and by second. Every answer that was
 * lost stands in one row of each table.
 */
import type { LogLine } from "./log_story.ts";
import {
  firstEventPhases,
  type LoggedAnswer,
  MOVES,
  NOTICES,
  type PhaseRow,
  pausePhases,
} from "./loss_phases.ts";

/** How an answer was lost. */
export type LossKind =
  /** Its first event came after the objective. */
  | "late_first"
  /** It stood still for longer than the objective allows. */
  | "late_pause"
  | "refused"
  | "cut"
  | "failed"
  /** Its caller left before its first event. */
  | "left_waiting"
  /** Its caller left after its first event. */
  | "left_midway"
  /** The instance that worked on it ended. */
  | "instance_ended";

/** What began a loss, as far as logs tell. */
export interface LossOrigin {
  /** An event of the log, such as `server_suspected`; `none` for no event. */
  readonly event: string;
  /** The engine or instance that it was about. */
  readonly subject: string;
}

/** One answer that its caller did not get on time. */
export interface Loss {
  readonly request: string;
  readonly kind: LossKind;
  /** Share of the answer's value that is lost. */
  readonly share: number;
  /** Unix milliseconds of its request. */
  readonly at: number;
  readonly origin: LossOrigin;
  /** Failure domain of its instance. */
  readonly domain: string;
}

export interface AccountRow {
  readonly name: string;
  readonly answers: number;
  readonly lost: number;
}

/** What the requests of one class, route or organisation lost. */
export interface GroupRow extends AccountRow {
  /** Requests that came in, the lost ones too. */
  readonly requests: number;
  /** Lost answers that were refused. */
  readonly refused: number;
  /** Requests of callers that returned, whether or not after the delay. */
  readonly returned: number;
}

/** What was lost in one failure domain or second, by the way. */
export interface KindsRow extends AccountRow {
  readonly requests: number;
  readonly byKind: readonly AccountRow[];
}

/** What was lost in one second. */
export interface SecondRow extends KindsRow {
  readonly byDomain: readonly AccountRow[];
}

export interface LossAccount {
  /** Requests that came in, the lost ones too. */
  readonly answers: number;
  readonly lost: number;
  readonly byKind: readonly AccountRow[];
  readonly byOrigin: readonly AccountRow[];
  readonly bySubject: readonly AccountRow[];
  /** Names are priorities, the most urgent ones first. */
  readonly byPriority: readonly GroupRow[];
  readonly byRoute: readonly GroupRow[];
  /** The name is `none` for requests without an organisation. */
  readonly byOrganisation: readonly GroupRow[];
  /** Names are seconds of the day, as in the log. */
  readonly bySecond: readonly SecondRow[];
  /** Names are the failure domains of the instances that callers reached. */
  readonly byDomain: readonly KindsRow[];
  /** Where late and broken answers spent their time. */
  readonly phases: readonly PhaseRow[];
}

/** Share of its value that a late answer keeps, where nothing else is told. */
export const LATE_SHARE = 0.25;
/** How long before a pause its origin may have been logged, and after. */
const ORIGIN_BEFORE_MS = 600;
const ORIGIN_AFTER_MS = 600;

/** Events that may begin a loss, the most telling ones first. */
const ORIGIN_EVENTS = [
  "pipeline_silent",
  "server_suspected",
  "server_leaving",
  "server_gone",
  "layers_ordered",
  "no_pipeline",
  "run_refused",
  "engine_slow",
];

const KINDS_BY_OUTCOME: Readonly<Record<string, LossKind>> = {
  not_run: "refused",
  cut: "cut",
  unknown: "failed",
};

/** Adds the losses up that the lines tell of. */
export function accountForLosses(
  lines: readonly LogLine[],
  { lateShare = LATE_SHARE }: { readonly lateShare?: number } = {},
): LossAccount {
  const requests = gatherRequests(lines);
  const domains = domainsBySource(lines);
  const domainOf = ({ source }: LoggedRequest) =>
    domains.get(source) ?? UNKNOWN;
  const originOf = createOriginFinder(lines);
  const losses = [...requests.values()].flatMap((request): Loss[] => {
    const kind = kindOf(request);
    if (kind === null) return [];
    const isLate = kind === "late_first" || kind === "late_pause";
    const share = isLate ? 1 - lateShare : 1;
    const { id, at } = request;
    const origin = originOf(request, kind);
    const domain = domainOf(request);
    return [{ request: id, kind, share, at, origin, domain }];
  });
  const lostAs = (...kinds: LossKind[]) =>
    losses.flatMap(({ request, kind }) =>
      kinds.includes(kind) ? (requests.get(request) ?? []) : [],
    );
  return {
    answers: requests.size,
    lost: sum(losses),
    byKind: table(losses, ({ kind }) => kind),
    byOrigin: table(losses, ({ origin }) => origin.event),
    bySubject: table(losses, ({ origin }) => origin.subject),
    byPriority: groupTable(
      requests,
      losses,
      ({ end }) => end?.fields.priority,
    ).sort((one, other) => rankOf(one.name) - rankOf(other.name)),
    byRoute: groupTable(
      requests,
      losses,
      ({ end, route }) => end?.fields.route ?? route,
    ),
    byOrganisation: groupTable(
      requests,
      losses,
      ({ end }) => end && (end.fields.organisation ?? "none"),
    ),
    bySecond: kindsTable(requests, losses, secondOf)
      .map((row) => {
        const own = losses.filter((loss) => secondOf(loss) === row.name);
        return { ...row, byDomain: table(own, ({ domain }) => domain) };
      })
      .filter(({ answers }) => answers > 0)
      .sort((one, other) => (one.name < other.name ? -1 : 1)),
    byDomain: kindsTable(requests, losses, domainOf),
    phases: [
      ...firstEventPhases(lostAs("late_first", "left_waiting")),
      ...pausePhases(lostAs("late_pause", "cut", "left_midway")),
    ],
  };
}

function secondOf({ at }: { readonly at: number }): string {
  return new Date(at).toISOString().slice(11, 19);
}

function domainsBySource(lines: readonly LogLine[]): Map<string, string> {
  return new Map(
    lines.flatMap(({ event, source, fields: { domain } }) =>
      event === "started" && domain !== undefined ? [[source, domain]] : [],
    ),
  );
}

/** What the log says of one request. */
interface LoggedRequest extends LoggedAnswer {
  readonly source: string;
  /** As in its first line. */
  readonly route: string | undefined;
  at: number;
  readonly sent: LogLine[];
  readonly recovery: LogLine[];
  /** Engines or servers that it was sent to. */
  readonly servers: Set<string>;
  end: LogLine | null;
  /** When its instance started anew without having ended it. */
  instanceEndedAt: number | null;
}

function gatherRequests(lines: readonly LogLine[]): Map<string, LoggedRequest> {
  const requests = new Map<string, LoggedRequest>();
  const open = new Map<string, Set<LoggedRequest>>();
  for (const line of [...lines].sort((one, other) => one.at - other.at)) {
    const { event, source, at, fields } = line;
    const id = fields.request;
    if (event === "started") endOpen(open.get(source), at);
    if (event === "request_sent" && id) {
      const request = requests.get(id) ?? begin(id, line);
      requests.set(id, request);
      for (const server of serversOf(line)) request.servers.add(server);
      request.sent.push(line);
      const others = open.get(source) ?? new Set();
      open.set(source, others.add(request));
    }
    if (id && event !== "request_sent") {
      if (NOTICES.has(event) || MOVES.has(event))
        requests.get(id)?.recovery.push(line);
    }
    if (event === "request_ended" && id) {
      const request = requests.get(id) ?? begin(id, line);
      requests.set(id, request);
      request.end = line;
      request.at = at - Number(fields.total_ms ?? 0);
      open.get(source)?.delete(request);
    }
  }
  return requests;
}

function begin(id: string, { source, at, fields }: LogLine): LoggedRequest {
  const servers = new Set<string>();
  const { route } = fields;
  return {
    id,
    source,
    route,
    at,
    sent: [],
    recovery: [],
    servers,
    end: null,
    instanceEndedAt: null,
  };
}

function endOpen(open: Set<LoggedRequest> | undefined, at: number): void {
  for (const request of open ?? []) request.instanceEndedAt = at;
  open?.clear();
}

function serversOf({ fields }: LogLine): string[] {
  const stages = (fields.stages ?? "").split(",");
  return [fields.id ?? "", ...stages].filter((id) => id !== "");
}

function kindOf({ end, instanceEndedAt }: LoggedRequest): LossKind | null {
  if (!end) return instanceEndedAt === null ? null : "instance_ended";
  const { outcome = "", late, status = "" } = end.fields;
  if (outcome === "answered") {
    if (late === "first") return "late_first";
    if (late === "pause") return "late_pause";
    return Number(status) >= 400 ? "failed" : null;
  }
  if (outcome === "caller_left")
    return end.fields.first_ms === undefined ? "left_waiting" : "left_midway";
  return KINDS_BY_OUTCOME[outcome] ?? "failed";
}

/** An event that may begin losses, until some time. */
interface OriginLine extends LogLine {
  until: number;
}

function endSlowness(list: readonly OriginLine[], { at, fields }: LogLine) {
  const line = list.findLast(
    ({ event, fields: { id } }) => event === "engine_slow" && id === fields.id,
  );
  if (line) line.until = Math.min(line.until, at);
}

/** Finds what an instance logged of a request's servers when it was lost. */
function createOriginFinder(lines: readonly LogLine[]) {
  const bySource = new Map<string, OriginLine[]>();
  for (const line of lines) {
    const list = bySource.get(line.source) ?? [];
    if (line.event === "engine_no_longer_slow") endSlowness(list, line);
    if (!ORIGIN_EVENTS.includes(line.event)) continue;
    bySource.set(line.source, list);
    const until = line.event === "engine_slow" ? Infinity : line.at;
    list.push({ ...line, until });
  }

  return (request: LoggedRequest, kind: LossKind): LossOrigin => {
    if (kind === "instance_ended") {
      return { event: kind, subject: request.source };
    }
    const [from, to] = timeOfLoss(request);
    const near = (bySource.get(request.source) ?? []).filter(
      ({ at, until }) =>
        until >= from - ORIGIN_BEFORE_MS && at <= to + ORIGIN_AFTER_MS,
    );
    for (const event of ORIGIN_EVENTS) {
      const found = near.find(
        (line) => line.event === event && concerns(line, request),
      );
      if (found) return { event, subject: subjectOf(found) };
    }
    return { event: "none", subject: "none" };
  };
}

/** From when to when the answer stood still, or the whole of a lost one. */
function timeOfLoss({ at, end }: LoggedRequest): readonly [number, number] {
  const { pause_at_ms: pauseAt, pause_ms: pause } = end?.fields ?? {};
  if (pauseAt === undefined || pause === undefined) {
    return [at, end?.at ?? at];
  }
  const from = at + Number(pauseAt);
  return [from, from + Number(pause)];
}

function concerns(line: LogLine, { id, servers }: LoggedRequest): boolean {
  if (line.fields.request !== undefined) return line.fields.request === id;
  const lost = (line.fields.lost ?? "").split(",");
  return [line.fields.id ?? "", ...lost].some((server) => servers.has(server));
}

function subjectOf({ fields }: LogLine): string {
  return fields.lost ?? fields.id ?? "none";
}

function sum(losses: readonly Loss[]): number {
  return losses.reduce((total, { share }) => total + share, 0);
}

function table(
  losses: readonly Loss[],
  nameOf: (loss: Loss) => string,
): AccountRow[] {
  const rows = new Map<string, Loss[]>();
  for (const loss of losses) {
    const name = nameOf(loss);
    rows.set(name, [...(rows.get(name) ?? []), loss]);
  }
  return [...rows]
    .map(([name, group]) => ({
      name,
      answers: group.length,
      lost: sum(group),
    }))
    .sort((one, other) => other.lost - one.lost);
}

/** Requests by name, with those of their losses. */
function grouped(
  requests: ReadonlyMap<string, LoggedRequest>,
  losses: readonly Loss[],
  nameOf: (request: LoggedRequest) => string | null | undefined,
) {
  const lossOf = new Map(losses.map((loss) => [loss.request, loss]));
  const groups = new Map<string, LoggedRequest[]>();
  for (const request of requests.values()) {
    const name = nameOf(request) ?? UNKNOWN;
    const group = groups.get(name) ?? [];
    groups.set(name, group);
    group.push(request);
  }
  return Array.from(groups, ([name, group]) => {
    const lost = group.flatMap(({ id }) => lossOf.get(id) ?? []);
    return { name, group, lost };
  });
}

/** Rows with the ways of loss, the row that lost most first. */
function kindsTable(
  requests: ReadonlyMap<string, LoggedRequest>,
  losses: readonly Loss[],
  nameOf: (request: LoggedRequest) => string,
): KindsRow[] {
  return grouped(requests, losses, nameOf)
    .map(({ name, group, lost }) => {
      return {
        name,
        requests: group.length,
        answers: lost.length,
        lost: sum(lost),
        byKind: table(lost, ({ kind }) => kind),
      };
    })
    .sort((one, other) => other.lost - one.lost);
}

/** Name of a group whose requests' lines don't tell it. */
const UNKNOWN = "unknown";

/** One row for each name, the one that lost most first. */
function groupTable(
  requests: ReadonlyMap<string, LoggedRequest>,
  losses: readonly Loss[],
  nameOf: (request: LoggedRequest) => string | null | undefined,
): GroupRow[] {
  return grouped(requests, losses, nameOf)
    .map(({ name, group, lost }) => {
      return {
        name,
        requests: group.length,
        answers: lost.length,
        lost: sum(lost),
        refused: lost.filter(({ kind }) => kind === "refused").length,
        returned: group.filter(hasReturned).length,
      };
    })
    .sort((one, other) => other.lost - one.lost);
}

/** Rank of a priority; one that isn't known comes last. */
function rankOf(priority: string): number {
  return priority === UNKNOWN ? Number.MAX_VALUE : Number(priority);
}

function hasReturned({ end }: LoggedRequest): boolean {
  const { arrival = "first" } = end?.fields ?? {};
  return arrival !== "first";
}
