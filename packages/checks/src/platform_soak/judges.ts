/** Checks what callers got against what backend servers saw. */
import {
  type CallerAnswer,
  HEADERS,
  PATIENCE_MS,
} from "@rosemarypin/platform/stand_in";
import type { SoakRequest } from "./soak_request.ts";
import { isRefusedByVersion, judgeAllowance } from "./version_judges.ts";
import type { Allowance } from "./versions.ts";

/** A request, with its answer. */
export interface SoakCall extends SoakRequest {
  readonly id: string;
  /** 1 for the first attempt of a caller. */
  readonly attempt: number;
  readonly deadlineMs: number;
  readonly answer: CallerAnswer;
  /** Whether a planned stop of its instance, and no fault, fell into it. */
  readonly onlyPlanned: boolean;
  /** Whether all callers used one instance when it was sent. */
  readonly throughOneEntry?: boolean;
  /**
   * Whether it was sent ahead, and the answer to one before it on its
   * connection is missing, ends early or announces the close.
   */
  readonly isBehindEnd?: boolean;
  /** What the versions of the configuration allowed. */
  readonly allowed?: Allowance;
}

/** Share of the time left that a retry delay may take. */
const DELAY_SHARE = 1 / 3;
/** Delays and times are rounded to up to 10 ms. */
const DELAY_SLACK_MS = 10;
/** Answers take this time to arrive while the machine is busy. */
const ANSWER_SLACK_MS = 500;
/** Fewer requests say too little about a share. */
const MIN_JUDGED_CALLS = 60;
/** A more urgent class may be served less often by this share. */
const MAX_CLASS_GAP = 0.05;
/** A group may be served this much less often than all. */
const MIN_GROUP_RATIO = 0.5;
/** Requests through one instance may be served this much less often. */
const MIN_ENTRY_RATIO = 0.75;

const REQUEST_ID = HEADERS.requestId.toLowerCase();
/** Statuses that promise that a request did not and will not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** What became of a request inside the deployment. */
export interface RequestTrace {
  /** How often a backend server began to work on it. */
  readonly runs: number;
  /** Whether the log of an instance names it. */
  readonly wasRead: boolean;
  /** Time until the instance that read it had answered; 0 if not logged. */
  readonly heldMs: number;
}

/** Gives a line for each broken promise. */
export function judgeCalls(
  calls: readonly SoakCall[],
  traceOf: (id: string) => RequestTrace,
): string[] {
  return calls.flatMap((call) => {
    const trace = traceOf(call.id);
    const broken = judgeCall(call, trace);
    return broken ? [`${broken}: ${describe(call, trace)}`] : [];
  });
}

function judgeCall(call: SoakCall, trace: RequestTrace): string | null {
  const { answer, kind } = call;
  const { runs, wasRead, heldMs } = trace;
  if (kind === "order" && runs > 1) return "an order ran more than once";
  if (NOT_RUN.has(answer.status) && runs > 0) {
    return "a request was refused as not run, and ran";
  }
  if (call.isBehindEnd && runs > 0) {
    return "a request ran behind the end of its connection";
  }
  const named = answer.headers[REQUEST_ID];
  if (named === undefined ? answer.status === 200 : named !== call.id) {
    return "an answer doesn't name its request";
  }
  const late = judgeDelay(call, heldMs) ?? judgeWait(call, trace);
  if (late) return late;
  const disallowed = judgeAllowance(call);
  if (disallowed) return disallowed;
  if (answer.status === 200 && kind !== "stream") {
    if (answer.whole && !/^done by p-\d+$/.test(answer.body)) {
      return "an answer is not the server's";
    }
  }
  if (answer.status === 200 && kind === "stream") return judgeStream(call);
  // A request may cross the close of its connection, or of the listener that
  // has not accepted it yet. No process reads it then, and it runs nowhere.
  // The same holds for one behind the end of its connection, which may be read.
  const wasTaken = (wasRead && !call.isBehindEnd) || runs > 0;
  if (call.onlyPlanned && answer.status === 0 && wasTaken) {
    return "a planned stop cut a request";
  }
  return null;
}

function judgeDelay(
  { answer, deadlineMs }: SoakCall,
  heldMs: number,
): string | null {
  if (answer.status !== 503) return null;
  const delayMs = Number(answer.headers["retry-after"] ?? Number.NaN) * 1_000;
  if (!(delayMs >= 0)) return "a refusal without a retry delay";
  // The time on the way is left out: on a busy machine, requests and answers
  // take up to a second, which the instance cannot know.
  const leftMs = Math.max(0, deadlineMs - heldMs);
  const isLong = delayMs > leftMs * DELAY_SHARE + DELAY_SLACK_MS;
  return isLong ? "a retry delay over a third of the rest" : null;
}

function judgeWait(
  { answer, deadlineMs, onlyPlanned, allowed }: SoakCall,
  { wasRead, heldMs }: RequestTrace,
): string | null {
  const isGivenUp =
    answer.status === 0 && answer.tookMs >= deadlineMs + PATIENCE_MS;
  // As for delays, the time on the way of a logged request is left out. A
  // frozen instance counts the deadline from when it reads the request.
  const waitedMs = wasRead ? heldMs : answer.tookMs;
  const limitMs = Math.min(deadlineMs, allowed?.maxTimeoutMs ?? deadlineMs);
  const isLate = onlyPlanned && waitedMs > limitMs + ANSWER_SLACK_MS;
  return isGivenUp || isLate
    ? "a request without an answer at its deadline"
    : null;
}

function judgeStream(call: SoakCall): string | null {
  const { id, events, answer, deadlineMs, onlyPlanned, allowed } = call;
  const seen = [...answer.body.matchAll(/^id: (\d+)\ndata: (.+)$/gm)];
  for (const [index, [, event, data]] of seen.entries()) {
    if (Number(event) !== index + 1) return "an event is missing or repeated";
    if (data !== `${id}.${event}`) return "an event of another request";
  }
  if (answer.whole && seen.length !== events) {
    return "a stream that ended early looks whole";
  }
  // A stream also ends at the deadline, which retries leave little time for.
  const limitMs = Math.min(deadlineMs, allowed?.minTimeoutMs ?? deadlineMs);
  const isInTime = answer.tookMs < limitMs;
  if (onlyPlanned && !answer.whole && isInTime) {
    return "a planned stop cut a stream";
  }
  return null;
}

function describe(
  { id, kind, answer, deadlineMs }: SoakCall,
  { runs, wasRead, heldMs }: RequestTrace,
): string {
  const { status, whole, body, tookMs, headers } = answer;
  return (
    `${kind} ${id} status ${status} whole ${whole} ` +
    `runs ${runs} read ${wasRead} held ${heldMs} ms of ${deadlineMs} ` +
    `retry-after ${headers["retry-after"] ?? "-"} ` +
    `took ${tookMs.toFixed(0)} ms ${JSON.stringify(body.slice(-80))}`
  );
}

/** Gives a line for each group of streams that is served too seldom. */
export function judgeShares(calls: readonly SoakCall[]): string[] {
  const first = calls.filter(isFirstStream);
  const all = servedShare(first);
  const seldom = [
    ...groupsOf(first, ({ priority }) => `class ${priority}`),
    ...groupsOf(first, ({ organisation }) => organisation),
  ].filter(([, group]) => servedShare(group) < all * MIN_GROUP_RATIO);
  return [
    ...judgeClassOrder(first.filter(({ onlyPlanned }) => onlyPlanned)),
    ...seldom.map(
      ([name, group]) =>
        `${name} is served too seldom: ${describeShare(group)}, ` +
        `all ${describeShare(first)}`,
    ),
  ];
}

/**
 * Gives a line if requests are served less than three quarters as often while
 * all callers use one instance.
 */
export function judgeEntry(calls: readonly SoakCall[]): string[] {
  const first = calls.filter(
    (call) =>
      call.onlyPlanned &&
      call.attempt === 1 &&
      !call.answer.refused &&
      !isRefusedByVersion(call),
  );
  const through = first.filter(({ throughOneEntry }) => throughOneEntry);
  const spread = first.filter(({ throughOneEntry }) => !throughOneEntry);
  const isJudged = Math.min(through.length, spread.length) >= MIN_JUDGED_CALLS;
  if (
    !isJudged ||
    servedShare(through) >= MIN_ENTRY_RATIO * servedShare(spread)
  )
    return [];
  return [
    "requests through one instance are served too seldom: " +
      `${describeShare(through)}, through all ${describeShare(spread)}`,
  ];
}

/** Gives the served first attempts of each class and organisation. */
export function describeGroups(calls: readonly SoakCall[]): string[] {
  const first = calls.filter(isFirstStream);
  const groups = [
    ...groupsOf(first, ({ priority, onlyPlanned }) =>
      onlyPlanned ? `class ${priority} without faults` : `class ${priority}`,
    ),
    ...groupsOf(first, ({ organisation }) => organisation),
  ];
  return groups.map(([name, group]) => `${name}: ${describeShare(group)}`);
}

function judgeClassOrder(calls: readonly SoakCall[]): string[] {
  const classes = groupsOf(calls, ({ priority }) => priority).sort(
    ([a], [b]) => a - b,
  );
  return classes.flatMap(([urgent, group], index) =>
    classes
      .slice(index + 1)
      .filter(
        ([, other]) => servedShare(other) - servedShare(group) > MAX_CLASS_GAP,
      )
      .map(
        ([lower, other]) =>
          `class ${urgent} is served less often than class ${lower}: ` +
          `${describeShare(group)}, ${describeShare(other)}`,
      ),
  );
}

/** Groups with enough calls to be judged. */
function groupsOf<Key>(
  calls: readonly SoakCall[],
  keyOf: (call: SoakCall) => Key,
): [Key, SoakCall[]][] {
  const groups = new Map<Key, SoakCall[]>();
  for (const call of calls) {
    const group = groups.get(keyOf(call));
    if (group) group.push(call);
    else groups.set(keyOf(call), [call]);
  }
  return [...groups].filter(([, group]) => group.length >= MIN_JUDGED_CALLS);
}

/**
 * Whether a call counts for the shares. One that met no listener, since a
 * process was starting, was not decided on by class or organisation.
 */
function isFirstStream(call: SoakCall): boolean {
  const { kind, attempt, answer } = call;
  const isDecided = !answer.refused && !isRefusedByVersion(call);
  return kind === "stream" && attempt === 1 && isDecided;
}

function isServed({ answer }: SoakCall): boolean {
  return answer.status === 200 && answer.whole;
}

function servedShare(calls: readonly SoakCall[]): number {
  return calls.filter(isServed).length / Math.max(1, calls.length);
}

function describeShare(calls: readonly SoakCall[]): string {
  return `${calls.filter(isServed).length} of ${calls.length}`;
}
