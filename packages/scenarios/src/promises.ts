/** Judges what a run saw against the promises of the product. */
import { isFrom, isTrue } from "./answer_truth.ts";
import {
  isAlone,
  judgeCutOff,
  judgeOutage,
  judgeRecalls,
} from "./cut_promises.ts";
import { type Judgement, judgeEach } from "./judgement.ts";
import type {
  Observations,
  ObservedAnswer,
  ObservedClaim,
} from "./observations.ts";
import type { PromiseName } from "./scenario_schema.ts";

/** How a promise fared. */
export interface Verdict extends Judgement {
  readonly promise: PromiseName;
}

/** How long instances may take to hear that a server leaves. */
const LEAVING_HEARD_MS = 3_000;
/** A killed instance that is started again listens within this time. */
const START_MS = 15_000;

/** The code of what ends because the contact is too old. */
const NO_CONTACT = "no_release_note";

type Judge = (seen: Observations) => Judgement;

const judges: Readonly<Record<PromiseName, Judge>> = {
  answers_true: (seen) =>
    judgeEach(
      seen.answers.filter(({ answer }) => answer.kind === "whole"),
      (observed) =>
        isTrue(observed, seen) ? null : `wrong answer to '${observed.prompt}'`,
    ),
  nothing_cut: (seen) =>
    judgeEach(seen.answers, ({ answer, instance }) =>
      answer.kind === "whole"
        ? null
        : `an answer of ${instance} ended as ${JSON.stringify(answer)}`,
    ),
  withdrawn_is_silent: (seen) => {
    const claims = firstClaims(seen);
    return judgeEach(seen.answers, (observed) =>
      judgeSilence(observed, { claims, seen }),
    );
  },
  notes_never_revert: judgeNotes,
  at_most_once: (seen) =>
    judgeEach([...countRuns(seen)], ([key, runs]) =>
      runs <= 1 ? null : `'${key}' ran ${runs} times`,
    ),
  not_run_is_true: (seen) => {
    const runs = countRuns(seen);
    return judgeEach(
      seen.orders.filter(({ told }) => told === "not_run"),
      ({ idempotencyKey }) =>
        runs.has(idempotencyKey)
          ? `'${idempotencyKey}' was refused as not run, but ran`
          : null,
    );
  },
  leaving_gets_nothing: judgeLeaving,
  cut_only_by_kills: (seen) =>
    judgeEach(seen.answers, (observed) => judgeCut(observed, seen)),
  orders_answered: (seen) =>
    judgeEach(seen.orders, ({ idempotencyKey, told }) =>
      told === "answered" ? null : `'${idempotencyKey}' ended as ${told}`,
    ),
  cut_off_serves: (seen) =>
    judgeEach(seen.cuts, (cut) => judgeCutOff(cut, seen)),
  recall_ends_answers: judgeRecalls,
  silent_without_contact: (seen) =>
    judgeEach(seen.outages, (outage) => judgeOutage(outage, seen)),
  resumed_answers_whole: (seen) =>
    judgeEach(
      seen.answers.filter(({ resumedOn }) => resumedOn !== undefined),
      ({ answer, instance, resumedOn }) =>
        answer.kind === "whole"
          ? null
          : `an answer of ${instance}, resumed on ${resumedOn}, ended as ${JSON.stringify(answer)}`,
    ),
  answered_calls_ran: (seen) => {
    const runs = countRuns(seen);
    return judgeEach(
      seen.orders.filter(({ told }) => told === "answered"),
      ({ idempotencyKey }) =>
        runs.has(idempotencyKey)
          ? null
          : `'${idempotencyKey}' was answered, but never ran`,
    );
  },
};

/** Judges the named promises in order. */
export function judge(
  promises: readonly PromiseName[],
  seen: Observations,
): readonly Verdict[] {
  return promises.map((promise) => ({ promise, ...judges[promise](seen) }));
}

function judgeSilence(
  observed: ObservedAnswer,
  options: {
    readonly claims: ReadonlyMap<string, ObservedClaim>;
    readonly seen: Observations;
  },
): string | null {
  const { claims, seen } = options;
  for (const [version, { name, phase, at }] of claims) {
    if (observed.lastTokenAt <= at) continue;
    if (!isFrom(observed, version, seen)) continue;
    const lateMs = Math.round(observed.lastTokenAt - at);
    return `${observed.instance} sent a token of ${version} ${lateMs} ms after '${name}' was ${phase}`;
  }
  return null;
}

/** The first claim that withdrew each version; later ones add nothing. */
function firstClaims(seen: Observations): ReadonlyMap<string, ObservedClaim> {
  const first = new Map<string, ObservedClaim>();
  for (const claim of [...seen.claims].sort((a, b) => a.at - b.at)) {
    for (const version of claim.withdrawnVersions) {
      if (!first.has(version)) first.set(version, claim);
    }
  }
  return first;
}

function judgeNotes(seen: Observations): Judgement {
  const highest = new Map<string, number>();
  return judgeEach(seen.notes, ({ instance, incarnation, note }) => {
    const key = `${instance}/${incarnation}`;
    const before = highest.get(key) ?? 0;
    if (note < before) return `${instance} went from note ${before} to ${note}`;
    highest.set(key, note);
    return null;
  });
}

/** Only a server that had work before shows anything by having none after. */
function judgeLeaving(seen: Observations): Judgement {
  const worked = seen.leavings.filter(({ server, at }) =>
    seen.work.some((work) => work.server === server && work.at < at),
  );
  return judgeEach(worked, ({ server, at, startedAgainAt }) => {
    const late = seen.work.find(
      (work) =>
        work.server === server &&
        work.at > at + LEAVING_HEARD_MS &&
        work.at < startedAgainAt,
    );
    if (!late) return null;
    const lateMs = Math.round(late.at - at);
    return `${server} got '${late.requestId}' ${lateMs} ms after it said it leaves`;
  });
}

/**
 * Refusals and recalls are final answers, and so is the end of an answer whose
 * instance may not serve without contact any more. Only a kill excuses silence.
 */
function judgeCut(
  { answer, instance, startedAt, endedAt }: ObservedAnswer,
  seen: Observations,
): string | null {
  if (answer.kind === "whole") return null;
  if (answer.kind === "failed") {
    const isFair =
      answer.outcome === "not_run" ||
      answer.outcome === "withdrawn" ||
      (answer.code === NO_CONTACT && isAlone(instance, { at: endedAt, seen }));
    return isFair ? null : `${instance} gave up: ${JSON.stringify(answer)}`;
  }
  const isKilled = seen.kills.some(
    (kill) =>
      kill.instance === instance &&
      kill.at <= endedAt &&
      startedAt <= kill.startedAgainAt + START_MS,
  );
  const span = `${Math.round(startedAt)} to ${Math.round(endedAt)} ms`;
  return isKilled ? null : `${instance} broke (${span}): ${answer.reason}`;
}

function countRuns(seen: Observations): Map<string, number> {
  const runs = new Map<string, number>();
  for (const key of seen.journal) runs.set(key, (runs.get(key) ?? 0) + 1);
  return runs;
}
