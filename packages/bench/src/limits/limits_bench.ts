/** Measures the accuracy and the cost of shared limits in one process. */
import {
  chooseCoordinator,
  createLimitCoordinator,
  createLimitsOf,
  createSharedLimits,
  type LimitReport,
} from "@rosemarypin/limits";
import { pause } from "@rosemarypin/timing";
import meow from "meow";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { BenchCommand } from "../bench_command.ts";

/** Bytes of the headers of a request, its response and their packets. */
const HEADER_BYTES = 560;
const STEP_MS = 20;
const LIMIT = 20;

interface Row {
  readonly instances: number;
  /** Number of organisations that stay far below their limit. */
  readonly light: number;
}

const rows: readonly Row[] = [
  { instances: 4, light: 10 },
  { instances: 64, light: 1_200 },
  { instances: 340, light: 6_400 },
];
/** Requests per second and instance of all light organisations together. */
const LIGHT_PER_INSTANCE = 2.9;

interface Figures {
  readonly admitted: number;
  readonly lightRefused: number;
  readonly bytesPerSecond: { readonly middle: number; readonly most: number };
  readonly stateBytes: number;
}

async function measure(row: Row, seconds: number): Promise<Figures> {
  const lightNames = Array.from(
    { length: row.light },
    (_, at) => `light-${at}`,
  );
  const limited = ["heavy", ...lightNames].map((name) => ({
    name,
    limits: { requestsPerSecond: LIMIT },
  }));
  const limitsOf = createLimitsOf(limited);
  const ids = Array.from({ length: row.instances }, (_, at) => `entry-${at}`);
  const coordinators = new Map(
    ids.map((id) => [id, createLimitCoordinator({ limitsOf })]),
  );
  const random = xoroshiro128plus(1);
  /** Bytes sent and received, by instance. */
  const bytes = new Map<string, number>();

  function createInstance(id: string) {
    return createSharedLimits({
      limitsOf,
      coordinators: {
        coordinatorOf: (organisation) => chooseCoordinator(organisation, ids),
        isSelf: (coordinator) => coordinator === id,
        async report(coordinator, report: LimitReport) {
          const answer = coordinators.get(coordinator)?.report(report) ?? null;
          const bodies = JSON.stringify(report) + JSON.stringify(answer);
          const cost = coordinator === id ? 0 : HEADER_BYTES + bodies.length;
          for (const endpoint of [id, coordinator]) {
            bytes.set(endpoint, (bytes.get(endpoint) ?? 0) + cost);
          }
          return answer;
        },
      },
    });
  }

  const before = process.memoryUsage().heapUsed;
  const instances = ids.map(createInstance);
  let admitted = 0;
  let lightRefused = 0;
  const due = { heavy: 0, light: 0 };

  function offer(name: string): boolean {
    const instance = instances[uniformInt(random, 0, ids.length - 1)];
    return instance?.admit(name, { tokens: 1 }).kind === "admitted";
  }

  async function run(forMs: number): Promise<void> {
    const end = performance.now() + forMs;
    let last = performance.now();
    while (performance.now() < end) {
      await pause(STEP_MS);
      const now = performance.now();
      due.heavy += ((now - last) / 1_000) * 4 * LIMIT;
      due.light += ((now - last) / 1_000) * LIGHT_PER_INSTANCE * ids.length;
      last = now;
      for (; due.heavy >= 1; due.heavy--) if (offer("heavy")) admitted += 1;
      for (; due.light >= 1; due.light--) {
        const name = `light-${uniformInt(random, 0, row.light - 1)}`;
        if (!offer(name)) lightRefused += 1;
      }
    }
  }

  await run((seconds * 1_000) / 2);
  [admitted, lightRefused] = [0, 0];
  bytes.clear();
  const began = performance.now();
  await run((seconds * 1_000) / 2);
  const elapsed = (performance.now() - began) / 1_000;
  const grown = process.memoryUsage().heapUsed - before;
  for (const instance of instances) instance.stop();
  const sorted = ids.map((id) => bytes.get(id) ?? 0).sort((a, b) => a - b);
  const rateAt = (at: number) => (sorted[Math.floor(at)] ?? 0) / elapsed;
  return {
    admitted: admitted / elapsed / LIMIT,
    lightRefused,
    bytesPerSecond: {
      middle: rateAt(ids.length / 2),
      most: rateAt(ids.length - 1),
    },
    stateBytes: grown / ids.length,
  };
}

/** `npm run bench -- limits`. */
export const limitsBench: BenchCommand = {
  summary: "limits of organisations over 4, 64 and 340 instances",
  async run(words) {
    const usage =
      "Usage: npm run bench -- limits [--seconds N] [--instances 4|64|340]";
    const { flags } = meow(usage, {
      importMeta: import.meta,
      argv: [...words],
      flags: {
        seconds: { type: "number", default: 200 },
        instances: { type: "number" },
      },
    });
    const { instances = 0 } = flags;
    const wanted = rows.filter(
      (row) => instances === 0 || row.instances === instances,
    );
    console.log(
      `one organisation asks for 4 times its limit of ${LIMIT}/s; ` +
        `all others together for ${LIGHT_PER_INSTANCE}/s an instance; ` +
        `${flags.seconds} s each, the second half counts`,
    );
    console.log(
      "instances  admitted/limit  light refused  B/s middle  B/s most  heap bytes",
    );
    for (const row of wanted) {
      const figures = await measure(row, flags.seconds);
      console.log(
        [
          String(row.instances).padEnd(9),
          figures.admitted.toFixed(2).padEnd(14),
          String(figures.lightRefused).padEnd(13),
          figures.bytesPerSecond.middle.toFixed(0).padEnd(10),
          figures.bytesPerSecond.most.toFixed(0).padEnd(8),
          figures.stateBytes.toFixed(0),
        ].join("  "),
      );
    }
    return 0;
  },
};
