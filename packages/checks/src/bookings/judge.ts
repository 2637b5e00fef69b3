/** Compares the responses to callers with the service's own journal. */
import type { ServiceCallResult } from "@rosemarypin/calls";
import type { Run } from "./journaled_service.ts";

/** The response to one caller. */
export interface Told {
  readonly key: string;
  readonly requestId: string;
  readonly body: string;
  /** Whether it asked after all had recovered. */
  readonly last: boolean;
  readonly result: ServiceCallResult;
}

export interface Verdict {
  /** Keys that ran more than once. */
  readonly doubleRuns: number;
  /** Calls that ran although the response was `not_run`. */
  readonly falseNotRun: number;
  /** Answers that are not those of the key's own run. */
  readonly wrongAnswers: number;
  /** Keys that stay refused although all is well. */
  readonly stuck: number;
  /** Keys whose last response was `outcome_unknown`. */
  readonly unresolved: number;
}

/** Judges a whole history. */
export function judge(journal: readonly Run[], told: readonly Told[]): Verdict {
  const keys = [...new Set(journal.map(({ key }) => key))];
  const runsOf = (key: string) => journal.filter((run) => run.key === key);
  const last = lastTold(told);
  return {
    doubleRuns: keys.filter((key) => runsOf(key).length > 1).length,
    falseNotRun: told.filter(
      (entry) =>
        outcomeOf(entry) === "not_run" &&
        journal.some(({ requestId }) => requestId === entry.requestId),
    ).length,
    wrongAnswers: told.filter((entry) => isWrong(entry, runsOf(entry.key)))
      .length,
    stuck: last.filter((entry) => outcomeOf(entry) === "not_run").length,
    unresolved: last.filter((entry) => outcomeOf(entry) === "outcome_unknown")
      .length,
  };
}

/** The final response for each key, after the caller's retries. */
function lastTold(told: readonly Told[]): Told[] {
  const byKey = new Map<string, Told>();
  for (const entry of told) if (entry.last) byKey.set(entry.key, entry);
  return [...byKey.values()];
}

/** Whether anything that must always hold was broken. */
export function isBroken(verdict: Verdict): boolean {
  const { doubleRuns, falseNotRun, wrongAnswers, stuck } = verdict;
  return doubleRuns + falseNotRun + wrongAnswers + stuck > 0;
}

function outcomeOf({ result }: Told): string {
  return result.kind === "failed" ? result.failure.outcome : "answer";
}

function isWrong(entry: Told, runs: readonly Run[]): boolean {
  const { result } = entry;
  if (result.kind !== "answer") return false;
  const answer = JSON.parse(result.answer.body.toString()) as Run | null;
  const run = runs.find(({ number }) => number === answer?.number);
  return run?.body !== entry.body;
}
