/** `npm run bench -- streams`: what each token and each stream costs. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EngineClient } from "@rosemarypin/backends";
import { runAnswer } from "@rosemarypin/calls";
import { createProcessGroup } from "@rosemarypin/launcher";
import type { EngineEvent, EngineSettings } from "@rosemarypin/schemas";
import { build } from "hdr-histogram-js";
import type { BenchCommand } from "../bench_command.ts";
import { startEngineProcess } from "./engine_process.ts";
import { describeRequest, sleep, startEntry } from "./entry.ts";
import { heapMegabytes } from "./heap.ts";
import { measureSlowCallers } from "./slow_callers.ts";

const STREAM_COUNTS = [50, 100, 200, 400];
const TOKENS = 4_096;
const WARM_MS = 2_500;
const MEASURE_MS = 6_000;
const MICROS = 1_000;
const LAYERS = 1;
/** One token for each stream in this time. */
const BATCH_MS = 40;

interface Sample {
  readonly streams: number;
  readonly tokensPerSecond: number;
  readonly coreShare: number;
  readonly heapMegabytes: number;
}

export const streamsCommand: BenchCommand = {
  summary: "processor time and memory of each stream, time added per token",
  async run() {
    const folder = mkdtempSync(join(tmpdir(), "streams-"));
    const processes = createProcessGroup(folder);
    try {
      const engine = await startEngineProcess("engine-1", {
        folder,
        processes,
        layers: LAYERS,
        batchMs: BATCH_MS,
      });
      const samples: Sample[] = [];
      const added = build();
      for (const streams of STREAM_COUNTS) {
        samples.push(await measure(streams, { engine, added }));
      }
      tell(samples, added);
      await measureSlowCallers({ folder, processes });
    } finally {
      await processes.stopAll();
      rmSync(folder, { recursive: true });
    }
    return 0;
  },
};

type Histogram = ReturnType<typeof build>;

async function measure(
  streams: number,
  options: { readonly engine: EngineSettings; readonly added: Histogram },
): Promise<Sample> {
  const { engine, added } = options;
  const arrivedAt = new Map<string, number>();
  const wrap = (client: EngineClient): EngineClient => ({
    ...client,
    async start(address, attempt, start) {
      const result = await client.start(address, attempt, start);
      if (result.kind !== "started") return result;
      const events = stamp(result.events, attempt.requestId);
      return { ...result, events };
    },
  });
  async function* stamp(events: AsyncIterable<EngineEvent>, id: string) {
    for await (const event of events) {
      if (event.type === "token") arrivedAt.set(id, performance.now());
      yield event;
    }
  }
  const entry = await startEntry({ engines: [engine], layers: LAYERS, wrap });
  const before = heapMegabytes();
  const left = new AbortController();
  let tokens = 0;
  let isMeasuring = false;
  const readers = Array.from({ length: streams }, async (_, index) => {
    let round = 0;
    while (!left.signal.aborted) {
      const id = `${streams}-${index}-${round}`;
      round += 1;
      const size = { words: 20, tokens: TOKENS };
      const answer = runAnswer(describeRequest(id, size), {
        ...entry.answers,
        signal: left.signal,
      });
      for await (const event of answer) {
        if (event.type !== "token" || !isMeasuring) continue;
        tokens += 1;
        const arrived = arrivedAt.get(id) ?? performance.now();
        added.recordValue(Math.round((performance.now() - arrived) * MICROS));
      }
      arrivedAt.delete(id);
    }
  });
  await sleep(WARM_MS);
  const heap = heapMegabytes() - before;
  const cpu = process.cpuUsage();
  const startedAt = performance.now();
  isMeasuring = true;
  await sleep(MEASURE_MS);
  isMeasuring = false;
  const seconds = (performance.now() - startedAt) / 1_000;
  const { user, system } = process.cpuUsage(cpu);
  left.abort();
  await Promise.all(readers);
  entry.stop();
  return {
    streams,
    tokensPerSecond: tokens / seconds,
    coreShare: (user + system) / 1_000_000 / seconds,
    heapMegabytes: heap,
  };
}

/** Least-squares slope of `y` over `x`. */
function slope(points: readonly { readonly x: number; readonly y: number }[]) {
  const mean = (pick: (point: { x: number; y: number }) => number) =>
    points.reduce((sum, point) => sum + pick(point), 0) / points.length;
  const x = mean((point) => point.x);
  const y = mean((point) => point.y);
  const top = points.reduce((sum, p) => sum + (p.x - x) * (p.y - y), 0);
  const bottom = points.reduce((sum, p) => sum + (p.x - x) ** 2, 0);
  return top / bottom;
}

function tell(samples: readonly Sample[], added: Histogram): void {
  for (const sample of samples) {
    console.log(
      `streams=${sample.streams} ` +
        `tokens_per_second=${sample.tokensPerSecond.toFixed(0)} ` +
        `core_share=${sample.coreShare.toFixed(3)} ` +
        `heap_mb=${sample.heapMegabytes.toFixed(1)}`,
    );
  }
  const perToken = slope(
    samples.map(({ tokensPerSecond: x, coreShare: y }) => ({ x, y })),
  );
  const perStream = slope(
    samples.map(({ streams: x, heapMegabytes: y }) => ({ x, y })),
  );
  const at = (percentile: number) =>
    (added.getValueAtPercentile(percentile) / MICROS).toFixed(3);
  console.log(
    `streams cpu_us_per_token=${(perToken * 1_000_000).toFixed(1)} ` +
      `tokens_per_core_second=${(1 / perToken).toFixed(0)} ` +
      `kb_per_stream=${(perStream * 1_024).toFixed(1)} ` +
      `added_ms_per_token=[p50 ${at(50)} p99 ${at(99)}]`,
  );
}
