/** Requests with a part in their prompts that ends engines. */
import {
  call,
  type EngineStandIn,
  promptRequest,
} from "@rosemarypin/platform/stand_in";
import type { SeededRandom } from "../seeded_random.ts";
import type { InstanceProcess } from "./instance_process.ts";
import { COMMON_PART } from "./soak_request.ts";
import { sleep } from "./timing.ts";

/** What the names of parts that end engines begin with. */
export const ENDING_PREFIX = "ends-";
const INTERVAL_MS = 300;
/** Time until an engine that has ended is back, without layers. */
const RESTART_MS = 800;

/** Sends such requests to random instances, and starts ended engines again. */
export async function sendEndingPrompts(options: {
  readonly engines: readonly EngineStandIn[];
  readonly instances: readonly InstanceProcess[];
  readonly random: SeededRandom;
  readonly deadlineMs: number;
}): Promise<void> {
  const { engines, instances, random, deadlineMs } = options;
  const part = `${ENDING_PREFIX}${random.between(0, 1e9)}`;
  for (const engine of engines)
    engine.endsUnder = new Set([...engine.endsUnder, part]);
  const count = random.between(4, 16);
  const calls: Promise<unknown>[] = [];
  for (let sent = 0; sent < count; sent += 1) {
    const instance = instances[random.between(0, instances.length - 1)];
    if (instance?.isUp()) {
      const request = promptRequest(COMMON_PART, part);
      calls.push(call(instance.url, { ...request, deadlineMs }));
    }
    await sleep(INTERVAL_MS);
    calls.push(...engines.filter((engine) => !engine.isUp()).map(restart));
  }
  await Promise.all(calls);
  await Promise.all(engines.map((engine) => engine.restart()));
}

async function restart(engine: EngineStandIn): Promise<void> {
  await sleep(RESTART_MS);
  await engine.restart();
}

/** Gives a line for each quarantined part that ends no engine. */
export function judgeQuarantines(logs: readonly string[]): string[] {
  const parts = logs.flatMap((text) =>
    [...text.matchAll(/ event=prompt_part_quarantined .*part=(\S+)/g)].map(
      ([, part = ""]) => part,
    ),
  );
  return [...new Set(parts)]
    .filter((part) => !part.startsWith(ENDING_PREFIX))
    .map((part) => `a sound part was put into quarantine: ${part}`);
}
