/** Work on a deployment, and silences of its servers, that callers don't see. */
import type { SeededRandom } from "../seeded_random.ts";
import type { World } from "./soak_world.ts";
import { sleep } from "./timing.ts";

export const PLANNED_WORK = [
  "versions",
  "reload_instance",
  "engine_pauses",
  "server_pauses",
] as const;
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
  const servers = work === "engine_pauses" ? engines : plainServers;
  const server = servers[random.between(0, servers.length - 1)];
  const durationMs = random.between(1_000, 2_000);
  server?.pause.begin(durationMs);
  await sleep(durationMs);
}
