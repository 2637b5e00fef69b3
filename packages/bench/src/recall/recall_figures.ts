/** Turns the times of recalls, and what callers saw, into figures. */
import { build, type Histogram } from "hdr-histogram-js";
import type { RecallRound } from "./recall_rounds.ts";
import { createVersionFinder, type SeenAnswer } from "./recall_traffic.ts";

/** What a scenario showed. */
export interface RecallFigures {
  /** Calls to the store of all instances in a second at rest. */
  readonly storeCallsPerSecond: number;
  readonly lastToken: Histogram;
  readonly accepted: Histogram;
  readonly inForce: Histogram;
  readonly afterInForce: number;
  /** Answers whose tokens fit no version: none may be. */
  readonly wrong: number;
  readonly answers: number;
}

/** Judges what callers saw of the recalled versions. */
export function evaluateRecalls(
  rounds: readonly RecallRound[],
  options: { readonly seen: readonly SeenAnswer[]; readonly model: string },
): Omit<RecallFigures, "storeCallsPerSecond"> {
  const versions = rounds.map(({ version }) => version);
  const findVersions = createVersionFinder(options.model, [
    ...versions,
    `v${versions.length + 1}`,
  ]);
  const lastSeen = new Map<string, number>();
  const inForceAt = new Map(
    rounds.map((round) => [round.version, round.inForceAt]),
  );
  let afterInForce = 0;
  let wrong = 0;
  const answered = options.seen.filter(({ tokenTimes }) => tokenTimes.length);
  for (const { answer, tokenTimes } of answered) {
    const lastAt = tokenTimes.at(-1) ?? 0;
    const fitting = findVersions(answer.tokens);
    if (fitting.length === 0) wrong += 1;
    // Few tokens may fit two versions; the one that was current is meant.
    const version = fitting.at(-1) ?? "";
    lastSeen.set(version, Math.max(lastAt, lastSeen.get(version) ?? 0));
    if (lastAt > (inForceAt.get(version) ?? Infinity)) afterInForce += 1;
  }
  const lastToken = createHistogram();
  const accepted = createHistogram();
  const inForce = createHistogram();
  for (const round of rounds) {
    const lastAt = lastSeen.get(round.version);
    if (lastAt !== undefined) record(lastToken, lastAt - round.sentAt);
    record(accepted, round.acceptedAt - round.recordedAt);
    record(inForce, round.inForceAt - round.recordedAt);
  }
  const answers = answered.length;
  return { lastToken, accepted, inForce, afterInForce, wrong, answers };
}

function createHistogram(): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000 });
}

function record(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs)));
}

/** The figures of one scenario, as lines for people. */
export function describeFigures(
  figures: RecallFigures,
  scenario: { readonly title: string; readonly instances: number },
): string {
  const { lastToken, accepted, inForce, afterInForce } = figures;
  const calls = figures.storeCallsPerSecond;
  return [
    `${scenario.title}: ${figures.answers} answers`,
    `  store calls at rest ${calls}/s of ${scenario.instances} instances`,
    `  last token of a recalled version ${describe(lastToken)}`,
    `  recorded to accepted ${describe(accepted)}`,
    `  recorded to in force ${describe(inForce)}`,
    `  answers with a token after in force ${afterInForce}`,
    `  answers of no version ${figures.wrong}`,
  ].join("\n");
}

function describe(histogram: Histogram): string {
  const { totalCount } = histogram;
  return `${percentiles(histogram)} (${totalCount} recalls)`;
}

/** One line over the recalls of all scenarios together. */
export function summarize(all: readonly RecallFigures[]): string {
  const lastToken = createHistogram();
  for (const figures of all) lastToken.add(figures.lastToken);
  const afterInForce = all.reduce((sum, one) => sum + one.afterInForce, 0);
  return `recall ${percentiles(lastToken)} after-in-force ${afterInForce}`;
}

function percentiles(histogram: Histogram): string {
  const p50 = histogram.getValueAtPercentile(50);
  const p99 = histogram.getValueAtPercentile(99);
  return `p50 ${p50} ms p99 ${p99} ms max ${histogram.maxValue} ms`;
}
