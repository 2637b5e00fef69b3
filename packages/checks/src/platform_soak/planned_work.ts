/** Work on a deployment, and silences of its servers, that callers don't see. */
import type { SeededRandom } from "../seeded_random.ts";
import type { World } from "./soak_world.ts";
import { sleep } from "./timing.ts";

export const PLANNED_WORK = [
  "versions",
  "reload_instance",
  "engine_pauses",
  "server_pauses",
  "engine_leaves",
] as const;
/** Least time for which an engine that leaves serves on. */
const DRAIN_MS = 2_000;
/** Time until its entry says so, and until it is gone. */
const HEARTBEAT_MS = 600;

export type PlannedWork = (typeof PLANNED_WORK)[number];

export function isPlannedWork(name: string): name is PlannedWork {
  return (PLANNED_WORK as readonly string[]).includes(name);
}

export async function carryOutWork(
  work: PlannedWork,
  { world, random }: { readonly world: World; readonly random: SeededRandom },
): Promise<void> {
  const { versions, instances, deployment } = world;
  const { engines, plainServers } = deployment;
  if (work === "versions") return versions.playSeries(random);
  if (work === "reload_instance") {
    const instance = instances[random.between(0, instances.length - 1)];
    if (instance?.isUp()) instance.reload();
    return;
  }
  if (work === "engine_leaves") return replaceEngine(world, random);
  const servers = work === "engine_pauses" ? engines : plainServers;
  const server = servers[random.between(0, servers.length - 1)];
  const durationMs = random.between(1_000, 2_000);
  server?.pause.begin(durationMs);
  await sleep(durationMs);
}

/** Empties an engine, ends it and starts it again without layers. */
async function replaceEngine(
  { deployment, leaving }: World,
  random: SeededRandom,
): Promise<void> {
  const { engines } = deployment;
  const engine = engines[random.between(0, engines.length - 1)];
  if (!engine?.isUp() || leaving.has(engine.id)) return;
  leaving.add(engine.id);
  await sleep(HEARTBEAT_MS + DRAIN_MS + random.between(0, 1_500));
  await engine.stop();
  await sleep(HEARTBEAT_MS + random.between(200, 800));
  leaving.delete(engine.id);
  await engine.restart();
}
