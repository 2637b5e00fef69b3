/** Checks the rules of each answer against the engines' journals alone. */
import type { AnswerEvent } from "@rosemarypin/calls";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { expectedAnswer, type RunEntry } from "@rosemarypin/stand_ins";

/** What a caller received. */
export interface ReceivedAnswer {
  readonly request: AnswerRequest;
  readonly events: readonly AnswerEvent[];
}

export interface RuleOptions {
  readonly journal: readonly RunEntry[];
  readonly version: string;
  readonly layers: number;
}

/** Why an answer is broken; empty when it is whole. */
export function findBreaks(
  received: ReceivedAnswer,
  options: RuleOptions,
): readonly string[] {
  const { requestId } = received.request;
  const runs = options.journal.filter((run) => run.requestId === requestId);
  return [
    ...findBrokenTokens(received, options),
    ...findLies(received, runs),
    ...findCacheGaps(runs),
    ...findRepeats(runs),
    ...findMissingLayers(received, { ...options, runs }),
  ];
}

/** The tokens must be those that the layers give, in order, all of them. */
function findBrokenTokens(
  { request, events }: ReceivedAnswer,
  options: RuleOptions,
): string[] {
  const expected = expectedAnswer({
    weights: { model: request.model, version: options.version },
    layers: options.layers,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
  });
  const breaks: string[] = [];
  const tokens = events.filter((event) => event.type === "token");
  tokens.forEach(({ index, text }, place) => {
    if (index !== place) breaks.push(`token ${index} came at place ${place}`);
    if (text !== expected.tokens[index]) breaks.push(`token ${index} is wrong`);
  });
  const last = events.at(-1);
  if (last?.type === "done") {
    if (tokens.length !== expected.tokens.length) {
      breaks.push(`${tokens.length} tokens of ${expected.tokens.length}`);
    }
    if (last.provenance.digest !== expected.digest) {
      breaks.push(`digest ${last.provenance.digest}, not ${expected.digest}`);
    }
  } else if (last?.type !== "failed") breaks.push("no final answer");
  return breaks;
}

/** `not_run` is a lie when any layer of the request ran. */
function findLies(
  { events }: ReceivedAnswer,
  runs: readonly RunEntry[],
): string[] {
  const last = events.at(-1);
  const saysNotRun =
    last?.type === "failed" && last.failure.outcome === "not_run";
  return saysNotRun && runs.length > 0 ? ["not_run, but layers ran"] : [];
}

/**
 * On one engine each run must follow what its KV cache holds; an imported
 * one holds what the exporter ran, of the same layers.
 */
function findCacheGaps(runs: readonly RunEntry[]): string[] {
  const lengths = new Map<string, number>();
  return runs.flatMap((run) => {
    const { engine, incarnation, imported, position, count } = run;
    const key = cacheKey(run);
    const breaks: string[] = [];
    if (imported) {
      const { positions } = imported;
      const given = lengths.get(cacheKey({ ...run, ...imported })) ?? 0;
      if (positions > given) {
        breaks.push(
          `${engine} imported ${positions} positions, but ` +
            `${imported.engine} had run ${given}`,
        );
      }
      lengths.set(key, positions);
    }
    const length = lengths.get(key) ?? 0;
    lengths.set(key, position + count);
    if (position > length) {
      const name = `${engine}#${incarnation}`;
      breaks.push(`${name} ran position ${position} after ${length}`);
    }
    return breaks;
  });
}

function cacheKey(run: {
  readonly engine: string;
  readonly incarnation: number | undefined;
  readonly from: number;
  readonly to: number;
}): string {
  return `${run.engine}/${run.incarnation}/${run.from}-${run.to}`;
}

/** In one attempt, no layer may run twice for a position. */
function findRepeats(runs: readonly RunEntry[]): string[] {
  const seen = new Set<string>();
  const breaks: string[] = [];
  for (const { attempt, from, to, position, count } of runs) {
    for (let at = position; at < position + count; at++) {
      const key = `${attempt}/${from}-${to}/${at}`;
      if (seen.has(key)) {
        breaks.push(`attempt ${attempt}: ${from}-${to} ran ${at} twice`);
      }
      seen.add(key);
    }
  }
  return breaks;
}

/** For each token, one attempt must have run all layers, in order. */
function findMissingLayers(
  { request, events }: ReceivedAnswer,
  options: RuleOptions & { readonly runs: readonly RunEntry[] },
): string[] {
  const reached = new Map<string, number>();
  const whole = new Set<number>();
  for (const { attempt, from, to, position, count } of options.runs) {
    for (let at = position; at < position + count; at++) {
      const key = `${attempt}/${at}`;
      if ((reached.get(key) ?? 0) === from) reached.set(key, to);
      if (reached.get(key) === options.layers) whole.add(at);
    }
  }
  return events.flatMap((event) => {
    if (event.type !== "token") return [];
    const position = request.promptTokens.length - 1 + event.index;
    return whole.has(position) ? [] : [`token ${event.index} missed a layer`];
  });
}
