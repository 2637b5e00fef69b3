/** `npm run bench -- capacity`: the slopes behind docs/CAPACITY.md. */
import type { BenchCommand } from "../bench_command.ts";
import { measureEngineRead } from "./engine_read.ts";
import { measureIdleDaemons } from "./idle_daemon.ts";
import { namedSlopes } from "./slopes.ts";

const IDLE_ORGANISATIONS = [2, 6_400];

export const capacityBench: BenchCommand = {
  summary: "costs that grow with the size of a deployment",
  async run() {
    for (const { name, per, unit, measure } of namedSlopes) {
      const { base, slope, points } = await measure();
      const seen = points
        .map(({ size, cost }) => `${size}: ${cost.toFixed(1)}`)
        .join(", ");
      console.log(
        `${name}: ${base.toFixed(1)} + ${slope.toFixed(3)} ${unit} per ${per} (${seen})`,
      );
    }
    const read = await measureEngineRead();
    console.log(
      `one engine read: ${read.bytes.toFixed(0)} bytes, ${read.micros.toFixed(0)} µs with the engine's side`,
    );
    for (const organisations of IDLE_ORGANISATIONS) {
      const idle = await measureIdleDaemons(organisations);
      console.log(
        `idle daemon, ${organisations} organisations: ${idle.megabytes.toFixed(1)} MB resident, ${idle.corePercent.toFixed(2)}% of a core`,
      );
    }
    return 0;
  },
};
