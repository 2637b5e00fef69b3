/** Holds what callers received against the engines' journal. */
import type { EngineGroup } from "@rosemarypin/stand_ins";
import type { Served } from "./answer_caller.ts";
import { LAYERS, VERSION } from "./answer_parts.ts";
import { findBreaks, type ReceivedAnswer } from "./answer_rule.ts";

/** What a whole run found. */
export interface AnswersReport {
  readonly broken: readonly BrokenAnswer[];
  readonly recoveries: number;
  readonly resumed: number;
  readonly notRun: number;
  /** Answers whose first engine died with their connection. */
  readonly lost: number;
  readonly faults: number;
  /** KV caches that were imported and run on. */
  readonly imports: number;
}

export interface BrokenAnswer {
  readonly breaks: readonly string[];
  /** What happened to the answer, in order. */
  readonly history: readonly string[];
}

/** Finds the answers that are broken, and counts the rest. */
export function report(
  served: readonly Served[],
  options: { readonly group: EngineGroup; readonly faults: number },
): AnswersReport {
  const { journal } = options.group;
  const broken = served.flatMap((answer): BrokenAnswer[] => {
    const rule = { journal, version: VERSION, layers: LAYERS };
    const breaks = answer.lost
      ? findBreaks(withLostEnd(answer), rule)
      : [...findBreaks(answer, rule), ...findGivenUp(answer)];
    if (breaks.length === 0) return [];
    return [{ breaks, history: tellHistory(answer, options.group) }];
  });
  const attempts = served.map(({ request: { requestId } }) => {
    const runs = journal.filter((run) => run.requestId === requestId);
    return new Set(runs.map(({ attempt }) => attempt)).size;
  });
  return {
    broken,
    recoveries: attempts.reduce(
      (sum, count) => sum + Math.max(0, count - 1),
      0,
    ),
    resumed: served.reduce((sum, answer) => sum + answer.resumed, 0),
    notRun: served.filter(isNotRun).length,
    lost: served.filter(({ lost }) => lost).length,
    faults: options.faults,
    imports: journal.filter(({ imported }) => imported).length,
  };
}

/** The part that a caller received before its answer was cut must be correct. */
function withLostEnd({ request, events }: Served): ReceivedAnswer {
  const failure = {
    outcome: "failed",
    code: "answer_lost",
    message: "",
    status: 502,
  } as const;
  return { request, events: [...events, { type: "failed", failure }] };
}

function isNotRun({ events }: Served): boolean {
  const last = events.at(-1);
  return last?.type === "failed" && last.failure.outcome === "not_run";
}

/** With engines that come back, an answer that began must come to its end. */
function findGivenUp({ events }: Served): string[] {
  const last = events.at(-1);
  return last?.type === "failed" && last.failure.outcome !== "not_run"
    ? [`given up: ${last.failure.code}`]
    : [];
}

function tellHistory(answer: Served, group: EngineGroup): string[] {
  const { requestId, promptTokens, maxTokens } = answer.request;
  const runs = group.journal
    .filter((run) => run.requestId === requestId)
    .map(
      ({ engine, incarnation, attempt, from, to, position, count, imported }) =>
        `${engine}#${incarnation % 100_000} attempt ${attempt} layers ` +
        `${from}-${to} position ${position} count ${count}` +
        (imported ? ` imported from ${imported.engine}` : ""),
    );
  const last = answer.events.at(-1);
  return [
    `${requestId}: ${promptTokens.length} words, ${maxTokens} tokens at most`,
    ...runs,
    `received ${answer.events.length} events, the last ${JSON.stringify(last)}`,
  ];
}
