/** `npm run bench -- capacity`: the slopes behind docs/CAPACITY.md. */
import type { BenchCommand } from "../bench_command.ts";
import { namedSlopes } from "./slopes.ts";

export const capacityBench: BenchCommand = {
  summary: "costs that grow with the size of a deployment",
  async run() {
    for (const { name, per, unit, measure } of namedSlopes) {
      const { base, slope, points } = measure();
      const seen = points
        .map(({ size, cost }) => `${size}: ${cost.toFixed(1)}`)
        .join(", ");
      console.log(
        `${name}: ${base.toFixed(1)} + ${slope.toFixed(3)} ${unit} per ${per} (${seen})`,
      );
    }
    return 0;
  },
};
