/** `npm run bench -- placement [--seeds N]`: plans, their cost and moves. */
import meow from "meow";
import type { BenchCommand } from "../bench_command.ts";
import { measureMoves } from "./moved_weights.ts";
import { measurePlanSlopes } from "./plan_slopes.ts";
import { measureRates } from "./split_rates.ts";

const SEEDS = 5;

export const placementBench: BenchCommand = {
  summary: "plans of a failure domain: time, rate, weights moved",
  async run(words) {
    const { flags } = meow("Usage: npm run bench -- placement [--seeds N]", {
      importMeta: import.meta,
      argv: words,
      flags: { seeds: { type: "number", default: SEEDS } },
    });
    const seeds = Array.from({ length: flags.seeds }, (_, index) => index + 1);
    console.log(`seeds ${seeds.join(", ")}`);
    for (const measure of [measureRates, measureMoves, measurePlanSlopes]) {
      for (const line of await measure(seeds)) console.log(line);
    }
    return 0;
  },
};
