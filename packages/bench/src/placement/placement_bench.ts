/** `npm run bench -- placement [--seeds N] [--only rates|moves|slopes]`: plans, their cost and moves. */
import meow from "meow";
import type { BenchCommand } from "../bench_command.ts";
import { measureMoves } from "./moved_weights.ts";
import { measurePlanSlopes } from "./plan_slopes.ts";
import { measureRates } from "./split_rates.ts";

const SEEDS = 3;
const PARTS = {
  rates: measureRates,
  moves: measureMoves,
  slopes: measurePlanSlopes,
} as const;

export const placementBench: BenchCommand = {
  summary: "plans of a failure domain: time, rate, weights moved",
  async run(words) {
    const { flags } = meow("Usage: npm run bench -- placement [--seeds N]", {
      importMeta: import.meta,
      argv: words,
      flags: {
        seeds: { type: "number", default: SEEDS },
        only: { type: "string", default: "" },
      },
    });
    const seeds = Array.from({ length: flags.seeds }, (_, index) => index + 1);
    console.log(`seeds ${seeds.join(", ")}`);
    for (const [name, measure] of Object.entries(PARTS)) {
      if (flags.only !== "" && flags.only !== name) continue;
      for (const line of await measure(seeds)) console.log(line);
    }
    return 0;
  },
};
