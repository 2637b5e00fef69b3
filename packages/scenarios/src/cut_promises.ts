/** Judges what instances do that are cut off. */
import { PLATFORM } from "@rosemarypin/launcher";
import { isFrom } from "./answer_truth.ts";
import { type Judgement, judgeEach } from "./judgement.ts";
import type {
  Observations,
  ObservedAnswer,
  ObservedCut,
  ObservedOutage,
  RecordedRecall,
} from "./observations.ts";

/** How long a recall may take where it can be heard of. */
const RECALL_HEARD_MS = 3_000;
/** How much the rates of two clocks may differ, by design note 002. */
const CLOCK_RATES = 1.01;

/** An instance that is cut off must answer callers of its side meanwhile. */
export function judgeCutOff(
  { instance, at, healedAt }: ObservedCut,
  { answers }: Observations,
): string | null {
  const hasAnswered = answers.some(
    (observed) =>
      observed.instance === instance &&
      observed.answer.kind === "whole" &&
      observed.startedAt > at &&
      observed.endedAt < healedAt,
  );
  return hasAnswered ? null : `${instance} answered nothing while cut off`;
}

/** Without the store, all contact ends, also that by way of peers. */
export function judgeOutage(
  { at, endedAt }: ObservedOutage,
  { answers, allowanceMs }: Observations,
): string | null {
  const silentAt = at + longestMs(allowanceMs);
  const late = answers.find(
    ({ lastTokenAt }) => lastTokenAt > silentAt && lastTokenAt < endedAt,
  );
  if (late) {
    const lateMs = Math.round(late.lastTokenAt - at);
    return `${late.instance} sent a token ${lateMs} ms into the outage`;
  }
  const goesOn = answers.some(
    ({ answer, startedAt }) => answer.kind === "whole" && startedAt > endedAt,
  );
  return goesOn ? null : "nothing was answered after the outage";
}

/** The longest time without contact, by the clock that judges. */
function longestMs(allowanceMs: number): number {
  return allowanceMs * CLOCK_RATES + RECALL_HEARD_MS;
}

/** No token of a recalled version comes later than it may. */
export function judgeRecalls(seen: Observations): Judgement {
  const pairs = seen.recalls.flatMap((recall) =>
    seen.answers
      .filter((observed) =>
        recall.withdrawnVersions.some((version) =>
          isFrom(observed, version, seen),
        ),
      )
      .map((observed) => ({ recall, observed })),
  );
  return judgeEach(pairs, ({ recall, observed }) =>
    judgeEnd(recall, { observed, seen }),
  );
}

function judgeEnd(
  { name, at }: RecordedRecall,
  options: { readonly observed: ObservedAnswer; readonly seen: Observations },
): string | null {
  const { observed, seen } = options;
  const lateMs = Math.round(observed.lastTokenAt - at);
  const boundMs = isAlone(observed.instance, { at, seen })
    ? longestMs(seen.allowanceMs)
    : RECALL_HEARD_MS;
  if (lateMs <= boundMs) return null;
  return `${observed.instance} sent a token ${lateMs} ms after '${name}' was recorded`;
}

/** Whether neither the platform nor peers could tell the instance anything. */
export function isAlone(
  instance: string,
  { at, seen }: { readonly at: number; readonly seen: Observations },
): boolean {
  const isOutage = seen.outages.some(
    (outage) => outage.at <= at && at <= outage.endedAt,
  );
  if (isOutage) return true;
  const from = seen.cuts
    .filter((cut) => cut.instance === instance && cut.at <= at)
    .filter(({ healedAt }) => healedAt >= at)
    .flatMap((cut) => cut.from);
  return from.includes(PLATFORM) && from.some((name) => name !== PLATFORM);
}
