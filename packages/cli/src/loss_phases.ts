/** Splits lost time into the phases that an answer went through. */
import type { LogLine } from "./log_story.ts";

/** What the log of one instance says of one answer. */
export interface LoggedAnswer {
  readonly id: string;
  /** Unix milliseconds of its request. */
  readonly at: number;
  /** Lines of its runs, in order. */
  readonly sent: readonly LogLine[];
  /** Lines that tell of a loss of its engines, or of a changed pipeline. */
  readonly recovery: readonly LogLine[];
  readonly end: LogLine | null;
}

/** Times that answers spent in one phase, in milliseconds. */
export interface PhaseRow {
  readonly name: string;
  readonly answers: number;
  readonly p50: number;
  readonly p95: number;
}

/** Events at which an instance notices that an answer lost an engine. */
export const NOTICES: ReadonlySet<string> = new Set([
  "first_engine_away",
  "stage_away",
  "request_dropped",
]);
/** Events after which an answer has other engines. */
export const MOVES: ReadonlySet<string> = new Set([
  "request_sent",
  "pipeline_changed",
  "request_handed_off",
]);

/** Phases of pauses, for answers whose pause the engines' loss began. */
export function pausePhases(answers: readonly LoggedAnswer[]): PhaseRow[] {
  const noticed: number[] = [];
  const moved: number[] = [];
  const next: number[] = [];
  const unmoved: number[] = [];
  for (const { at, sent, recovery, end } of answers) {
    const { pause_at_ms: pauseAt, pause_ms: pause } = end?.fields ?? {};
    if (pauseAt === undefined || pause === undefined) continue;
    const from = at + Number(pauseAt);
    const to = from + Number(pause);
    const within = [...sent, ...recovery]
      .filter((line) => line.at >= from && line.at <= to)
      .sort((one, other) => one.at - other.at);
    const move = within.findLast(({ event }) => MOVES.has(event));
    const notice = within.find(({ event }) => NOTICES.has(event)) ?? move;
    if (!move || !notice) {
      unmoved.push(to - from);
      continue;
    }
    noticed.push(notice.at - from);
    moved.push(Math.max(0, move.at - notice.at));
    next.push(to - move.at);
  }
  return [
    row("pause: until noticed", noticed),
    row("pause: until moved", moved),
    row("pause: until the next event", next),
    row("pause: on the same engines", unmoved),
  ].filter(({ answers: count }) => count > 0);
}

/** Phases until the first event, or until the caller left without one. */
export function firstEventPhases(answers: readonly LoggedAnswer[]): PhaseRow[] {
  const here: number[] = [];
  const earlier: number[] = [];
  const engines: number[] = [];
  const backlogs: number[] = [];
  const loads: number[] = [];
  for (const { at, sent, end } of answers) {
    const [first] = sent;
    const last = sent.at(-1);
    if (!first || !last || !end) continue;
    const { first_ms: firstMs, total_ms: totalMs } = end.fields;
    const to = at + Number(firstMs ?? totalMs ?? 0);
    here.push(first.at - at);
    earlier.push(last.at - first.at);
    engines.push(Math.max(0, to - last.at));
    const { backlog_ms: backlog, load } = last.fields;
    if (backlog !== undefined) backlogs.push(Number(backlog));
    if (load !== undefined) loads.push(Number(load) * 100);
  }
  return [
    row("first event: until sent", here),
    row("first event: at earlier engines", earlier),
    row("first event: at the last engines", engines),
    row("first event: backlog believed there", backlogs),
    row("first event: memory believed used, in 100", loads),
  ].filter(({ answers: count }) => count > 0);
}

function row(name: string, times: readonly number[]): PhaseRow {
  const sorted = times.toSorted((one, other) => one - other);
  const at = (share: number) =>
    Math.round(sorted[Math.floor((sorted.length - 1) * share)] ?? 0);
  return { name, answers: sorted.length, p50: at(0.5), p95: at(0.95) };
}
