/** `npm run bench -- recovery`: from a stage's end to the next token. */

import type { EngineClient } from "@rosemarypin/backends";
import { runAnswer } from "@rosemarypin/calls";
import { findFreePorts } from "@rosemarypin/launcher";
import {
  batchDurationMs,
  type EngineGroup,
  type RunEntry,
  startEngineGroup,
} from "@rosemarypin/stand_ins";
import { pause } from "@rosemarypin/timing";
import { build } from "hdr-histogram-js";
import type { BenchCommand } from "../bench_command.ts";
import {
  describeRequest,
  type Entry,
  MODEL,
  startEntry,
  VERSION,
} from "./entry.ts";

const ROUNDS = 24;
const WORDS = 200;
const TOKENS = 30;
const BREAK_AT = [5, 9, 14, 18];
const SETTLE_MS = 700;
const CANCELS = 12;
const LEAVE_AT = 6;
const AFTER_LEAVING_MS = 1_000;
const MICROS = 1_000;

const FAST = {
  batchMs: 2,
  layerMicros: 60,
  promptFactor: 0.05,
  linkMs: 0.5,
  batchSize: 32,
};
const SLOW = { ...FAST, batchMs: 3, layerMicros: 120, linkMs: 2 };
const STAGES = [
  { layers: { from: 0, to: 10 }, count: 3, speed: FAST },
  { layers: { from: 10, to: 19 }, count: 3, speed: FAST },
  { layers: { from: 19, to: 24 }, count: 3, speed: SLOW },
];
const LAYERS = 24;

type Fault = "kill" | "freeze";

interface Round {
  readonly detectionMs: number;
  readonly rebuildMs: number;
  readonly floorMs: number;
  /** Layers times positions that ran again. */
  readonly recomputed: number;
  /** The same, had the whole pipeline been rebuilt. */
  readonly whole: number;
}

export const recoveryCommand: BenchCommand = {
  summary: "time from a stage's end to the next token",
  async run() {
    const ports = await findFreePorts(9);
    const group = await startEngineGroup({
      model: MODEL,
      versions: [VERSION],
      stages: STAGES,
      nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
    });
    for (const fault of ["kill", "freeze"] as const) {
      const rounds: Round[] = [];
      for (let number = 0; number < ROUNDS; number++) {
        const round = await runRound(group, { fault, number });
        if (round) rounds.push(round);
      }
      tell(fault, rounds);
    }
    await measureCancel(group);
    group.stop();
    return 0;
  },
};

/** From a caller's departure to the last work of any stage for it. */
async function measureCancel(group: EngineGroup): Promise<void> {
  const entry = await startEntry({ engines: group.engines, layers: LAYERS });
  const histogram = build();
  for (let number = 0; number < CANCELS; number++) {
    const requestId = `cancel-${number}`;
    const left = new AbortController();
    const { signal } = left;
    const request = describeRequest(requestId, { words: WORDS, tokens: 500 });
    for await (const event of runAnswer(request, {
      ...entry.answers,
      signal,
    })) {
      if (event.type !== "token" || event.index === LEAVE_AT) break;
    }
    left.abort();
    const leftAt = performance.timeOrigin + performance.now();
    await pause(AFTER_LEAVING_MS);
    const last = group.journal.findLast((run) => run.requestId === requestId);
    const workedMs = Math.max(0, (last?.at ?? leftAt) - leftAt);
    histogram.recordValue(Math.round(workedMs * MICROS));
  }
  entry.stop();
  const at = (percentile: number) =>
    (histogram.getValueAtPercentile(percentile) / MICROS).toFixed(1);
  console.log(
    `cancel rounds=${CANCELS} work_after_leaving_ms=[p50 ${at(50)} ` +
      `p99 ${at(99)}] watched_ms=${AFTER_LEAVING_MS}`,
  );
}

async function runRound(
  group: EngineGroup,
  options: { readonly fault: Fault; readonly number: number },
): Promise<Round | null> {
  const { fault, number } = options;
  const starts: number[] = [];
  const wrap = (client: EngineClient): EngineClient => ({
    ...client,
    start(...call) {
      starts.push(performance.now());
      return client.start(...call);
    },
  });
  const entry = await startEntry({
    engines: group.engines,
    layers: LAYERS,
    wrap,
  });
  const requestId = `${fault}-${number}`;
  const seen = await watchAnswer(entry, { ...options, group, requestId });
  const { victim, brokenAt, nextTokenAt } = seen;
  if (fault === "freeze" && victim) group.thaw(victim);
  if (fault === "kill" && victim) await group.restart(victim);
  await pause(SETTLE_MS);
  entry.stop();
  const restartedAt = starts[1];
  if (restartedAt === undefined || nextTokenAt === null) return null;
  const runs = group.journal.filter((run) => run.requestId === requestId);
  return {
    detectionMs: restartedAt - brokenAt,
    rebuildMs: nextTokenAt - restartedAt,
    ...countRebuild(runs),
  };

  async function watchAnswer(
    from: Entry,
    watch: typeof options & {
      readonly group: EngineGroup;
      readonly requestId: string;
    },
  ) {
    const size = { words: WORDS, tokens: TOKENS };
    const request = describeRequest(watch.requestId, size);
    const { signal } = new AbortController();
    const breakAt = BREAK_AT[number % BREAK_AT.length] ?? 5;
    let found: string | null = null;
    let at = 0;
    let next: number | null = null;
    for await (const event of runAnswer(request, { ...from.answers, signal })) {
      if (event.type !== "token") continue;
      if (starts.length > 1) next ??= performance.now();
      if (event.index !== breakAt) continue;
      found = findVictim(watch.group, { requestId, stage: number % 3 });
      if (fault === "kill") watch.group.kill(found);
      else watch.group.freeze(found);
      at = performance.now();
    }
    return { victim: found, brokenAt: at, nextTokenAt: next };
  }
}

function findVictim(
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
function countRebuild(runs: readonly RunEntry[]) {
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

function tell(fault: Fault, rounds: readonly Round[]): void {
  const of = (pick: (round: Round) => number) => {
    const histogram = build();
    for (const round of rounds) {
      histogram.recordValue(Math.round(pick(round) * MICROS));
    }
    const at = (percentile: number) =>
      (histogram.getValueAtPercentile(percentile) / MICROS).toFixed(1);
    return `p50 ${at(50)} p99 ${at(99)}`;
  };
  const sum = (pick: (round: Round) => number) =>
    rounds.reduce((total, round) => total + pick(round), 0);
  const share = sum((round) => round.recomputed) / sum((round) => round.whole);
  console.log(
    `recovery fault=${fault} rounds=${rounds.length}/${ROUNDS} ` +
      `total_ms=[${of((r) => r.detectionMs + r.rebuildMs)}] ` +
      `detection_ms=[${of((r) => r.detectionMs)}] ` +
      `rebuild_ms=[${of((r) => r.rebuildMs)}] ` +
      `rebuild_floor_ms=[${of((r) => r.floorMs)}] ` +
      `recomputed_share_of_whole=${share.toFixed(2)}`,
  );
}
