/** The pipeline on which recoveries are measured. */
import {
  batchDurationMs,
  type EngineGroup,
  type RunEntry,
} from "@rosemarypin/stand_ins";
import { build } from "hdr-histogram-js";

const MICROS = 1_000;
export const WORDS = 200;

export const FAST = {
  batchMs: 2,
  layerMicros: 60,
  promptFactor: 0.05,
  linkMs: 0.5,
  batchSize: 32,
};
export const SLOW = { ...FAST, batchMs: 3, layerMicros: 120, linkMs: 2 };
export const STAGES = [
  { layers: { from: 0, to: 10 }, count: 3, speed: FAST },
  { layers: { from: 10, to: 19 }, count: 3, speed: FAST },
  { layers: { from: 19, to: 24 }, count: 3, speed: SLOW },
];
export const LAYERS = 24;

/** The engine that last ran this stage of a request. */
export function findVictim(
  group: EngineGroup,
  options: { readonly requestId: string; readonly stage: number },
): string {
  const from = STAGES[options.stage]?.layers.from;
  const run = group.journal.findLast(
    (one) => one.requestId === options.requestId && one.from === from,
  );
  return run?.engine ?? "";
}

/** What the second attempt ran before its first token, and its least time. */
export function countRebuild(runs: readonly RunEntry[]) {
  const second = runs.filter(({ attempt }) => attempt === 2);
  const first = second.findIndex(({ to }) => to === LAYERS);
  const rebuild = second.slice(0, first + 1);
  const last = rebuild.at(-1);
  const positions = last ? last.position + last.count : 0;
  const floorMs = rebuild.reduce((sum, { from, to, count }) => {
    const speed = to === LAYERS ? SLOW : FAST;
    const work = {
      layers: to - from,
      decodeTokens: 1,
      promptTokens: count - 1,
    };
    return sum + batchDurationMs(speed, work) + speed.linkMs;
  }, 0);
  const recomputed = rebuild.reduce(
    (sum, { from, to, count }) => sum + (count - 1) * (to - from),
    0,
  );
  return { floorMs, recomputed, whole: (positions - 1) * LAYERS };
}

/** p50 and p99 of milliseconds. */
export function describeSpread(values: readonly number[]): string {
  const histogram = build();
  for (const value of values) {
    histogram.recordValue(Math.round(Math.max(0, value) * MICROS));
  }
  const at = (percentile: number) =>
    (histogram.getValueAtPercentile(percentile) / MICROS).toFixed(1);
  return `p50 ${at(50)} p99 ${at(99)}`;
}
