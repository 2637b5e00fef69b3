/** Turns samples into the figures that users weigh. */
import { benchOrganisations } from "./bench_shape.ts";
import type { Sample } from "./open_loop.ts";

const FIRST_TOKEN_MS = 830;
const BETWEEN_TOKENS_MS = 79;

/** Figures of one run. */
export interface Figures {
  /** Tokens a second of any answer, over the hardware's bound. */
  readonly throughputShare: number;
  /** Tokens a second of whole answers within both objectives, likewise. */
  readonly goodputShare: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
  /** Jain's index over what each organisation got of its fair share, 0 to 1;
   * the fair share is max-min fair: nobody is owed more than it asked for. */
  readonly fairness: number;
  /** Requests of the small organisations that were answered whole, of all. */
  readonly smallServedShare: number;
  readonly refusedShare: number;
  /** Tokens delivered in answers that missed an objective, of all. */
  readonly wastedShare: number;
  readonly requests: number;
  readonly failed: number;
}

export interface FiguresOptions {
  /** Tokens a second that the engines can give. */
  readonly bound: number;
  /** Part of the run that counts, as `performance.now()` times. */
  readonly from: number;
  readonly to: number;
}

/** Computes the figures of the samples sent or answered in the window. */
export function figuresOf(
  samples: readonly Sample[],
  options: FiguresOptions,
): Figures {
  const { from, to, bound } = options;
  const inWindow = (time: number) => time >= from && time < to;
  const seconds = (to - from) / 1_000;
  const tokensIn = (sample: Sample) =>
    sample.tokenTimes.filter(inWindow).length;
  const all = sum(samples.map(tokensIn));
  const good = sum(samples.filter(isGood).map(tokensIn));
  const sent = samples.filter(({ sentAt }) => inWindow(sentAt));
  const firsts = sent.flatMap(({ sentAt, tokenTimes }) =>
    tokenTimes[0] === undefined ? [] : [tokenTimes[0] - sentAt],
  );
  const refused = sent.filter(({ end }) => end === "refused").length;
  const shares = fairnessShares(sent);
  const smallNames = new Set(
    benchOrganisations.flatMap(({ name, isLarge }) => (isLarge ? [] : name)),
  );
  const small = sent.filter(({ organisation }) => smallNames.has(organisation));
  return {
    throughputShare: all / seconds / bound,
    goodputShare: good / seconds / bound,
    firstTokenP95Ms: quantile(firsts, 0.95),
    betweenTokensP95Ms: quantile(sent.flatMap(gapsOf), 0.95),
    fairness: jain(shares),
    smallServedShare:
      small.length === 0
        ? 0
        : small.filter(({ end }) => end === "whole").length / small.length,
    refusedShare: sent.length === 0 ? 0 : refused / sent.length,
    wastedShare: all === 0 ? 0 : 1 - good / all,
    requests: sent.length,
    failed: sent.filter(({ end }) => end === "failed").length,
  };
}

/** Whole, with its first token and nearly all gaps within the objectives. */
export function isGood(sample: Sample): boolean {
  const first = sample.tokenTimes[0];
  if (sample.end !== "whole" || first === undefined) return false;
  if (first - sample.sentAt > FIRST_TOKEN_MS) return false;
  return quantile(gapsOf(sample), 0.95) <= BETWEEN_TOKENS_MS;
}

/** Times between the tokens of one answer, in milliseconds. */
export function gapsOf({ tokenTimes }: Sample): number[] {
  return tokenTimes
    .slice(1)
    .map((time, index) => time - (tokenTimes[index] ?? time));
}

/** The `share` quantile, or 0 of nothing. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * share)] ?? sorted.at(-1) ?? 0;
}

/** What each organisation got, over its max-min fair share of what was got. */
function fairnessShares(sent: readonly Sample[]): number[] {
  const asked = benchOrganisations.map(
    ({ name }) => sent.filter((sample) => sample.organisation === name).length,
  );
  const got = benchOrganisations.map(
    ({ name }) =>
      sent.filter(
        (sample) => sample.organisation === name && sample.end === "whole",
      ).length,
  );
  const fair = maxMinShares(asked, sum(got));
  return got.map((count, index) => count / Math.max(1, fair[index] ?? 0));
}

/** Divides `total` so that no one gets more than asked, else all the same. */
export function maxMinShares(
  asked: readonly number[],
  total: number,
): number[] {
  const shares = asked.map(() => 0);
  const order = asked.map((_, index) => index);
  order.sort((a, b) => (asked[a] ?? 0) - (asked[b] ?? 0));
  let left = total;
  order.forEach((index, position) => {
    const equal = left / (order.length - position);
    const share = Math.min(asked[index] ?? 0, equal);
    shares[index] = share;
    left -= share;
  });
  return shares;
}

/** Jain's fairness index of what each got. */
function jain(values: readonly number[]): number {
  const total = sum(values);
  const squares = sum(values.map((value) => value * value));
  return squares === 0 ? 0 : (total * total) / (values.length * squares);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
