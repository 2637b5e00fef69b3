/** Faults of a run: what each of them does, and for how long. */
import {
  type EngineStandIn,
  type LinkState,
  type PlainBehaviour,
  type ServerLinks,
  STREAM_BREAKS,
} from "@rosemarypin/platform/stand_in";
import type { SeededRandom } from "../seeded_random.ts";
import type { ProxyFault } from "./fault_proxy.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { World } from "./soak_world.ts";
import { sleep } from "./timing.ts";

export const FAULTS = [
  "stop_instance",
  "kill_instance",
  "freeze_instance",
  "configure",
  "store_down",
  "store_silent",
  "store_loses_replies",
  "door_closed",
  "engine_ends",
  "engine_silent",
  "engine_full",
  "engine_breaks",
  "connections_reset",
  "connections_harmed",
  "server_misbehaves",
  "instances_cut_off",
] as const;
export type Fault = (typeof FAULTS)[number];

/** Faults that a deployment bears without loss for calls in progress. */
export const PLANNED: ReadonlySet<string> = new Set([
  "stop_instance",
  "configure",
  "burst",
  "one_entry",
]);

export async function carryOut(
  fault: Fault,
  options: {
    readonly world: World;
    readonly random: SeededRandom;
    readonly hurt: Set<InstanceProcess>;
    readonly cutLinks: Set<ServerLinks>;
  },
): Promise<void> {
  const { world, random, hurt, cutLinks } = options;
  const { deployment, instances, proxies, doors } = world;
  const { store, engines, plainServers } = deployment;
  const lastsMs = random.between(200, 2_500);
  const instance = instances[random.between(0, instances.length - 1)];
  const engine = engines[random.between(0, engines.length - 1)];
  const proxy = proxies[random.between(0, proxies.length - 1)];
  const door = doors[random.between(0, doors.length - 1)];
  const server = plainServers[random.between(0, plainServers.length - 1)];
  if (!instance || !engine || !proxy || !door || !server) return;
  switch (fault) {
    case "stop_instance":
    case "kill_instance":
    case "freeze_instance":
      // Signals come one after the other; what else goes on overlaps them.
      if (hurt.has(instance)) return;
      hurt.add(instance);
      await hurtInstance(instance, fault, lastsMs);
      hurt.delete(instance);
      return;
    case "configure":
      world.versions.publish();
      return;
    case "store_down":
      return during(lastsMs, (on) => {
        store.faults.down = on;
      });
    case "store_silent":
      return during(lastsMs, (on) => {
        store.faults.silent = on;
      });
    case "store_loses_replies":
      return during(lastsMs, (on) => {
        store.faults.loseReplies = on ? Number.POSITIVE_INFINITY : 0;
      });
    case "door_closed":
      return during(lastsMs, (on) => {
        door.closed = on;
      });
    case "engine_ends":
      await engine.stop();
      await sleep(lastsMs);
      return engine.restart();
    case "engine_silent":
      return during(lastsMs, (on) => {
        engine.silent = on;
      });
    case "engine_full":
      return during(lastsMs, (on) => {
        engine.full = on;
      });
    case "engine_breaks":
      return breakAnswers(engine, random, lastsMs);
    case "connections_reset":
      return proxy.reset();
    case "connections_harmed":
      proxy.fault = random.pick<ProxyFault>([
        "delayed",
        "silenced",
        "cut_one_way",
      ]);
      await sleep(lastsMs);
      proxy.fault = "none";
      return proxy.reset();
    case "server_misbehaves":
      server.behaviour = random.pick<PlainBehaviour>([
        "refuses",
        "drops",
        "cuts",
        "fails",
        "confuses",
        "unsigned",
        "hangs",
      ]);
      await sleep(lastsMs);
      server.behaviour = "answers";
      return;
    case "instances_cut_off":
      return cutOff(world.links, random, cutLinks);
  }
}

/** Cuts one to all of the instances off, except those that are cut off now. */
async function cutOff(
  links: readonly ServerLinks[],
  random: SeededRandom,
  cutLinks: Set<ServerLinks>,
): Promise<void> {
  const count = random.between(1, links.length);
  const state = random.pick<LinkState>(["refused", "reset", "hanging"]);
  const lastsMs = random.between(300, 4_000);
  const first = random.between(0, links.length - 1);
  const chosen = [...links, ...links]
    .slice(first, first + count)
    .filter((each) => !cutLinks.has(each));
  for (const each of chosen) cutLinks.add(each);
  await Promise.all(chosen.map((each) => each.set(state)));
  await sleep(lastsMs);
  await Promise.all(chosen.map((each) => each.set("open")));
  for (const each of chosen) cutLinks.delete(each);
}

async function hurtInstance(
  instance: InstanceProcess,
  fault: "stop_instance" | "kill_instance" | "freeze_instance",
  lastsMs: number,
): Promise<void> {
  if (fault === "freeze_instance") {
    instance.freeze();
    await sleep(lastsMs);
    return instance.thaw();
  }
  if (fault === "stop_instance") await instance.stop();
  else await instance.kill();
  instance.start();
  await sleep(1_000);
}

async function during(
  lastsMs: number,
  set: (on: boolean) => void,
): Promise<void> {
  set(true);
  await sleep(lastsMs);
  set(false);
}

/** An engine answers without length and chunks, and breaks answers off. */
export async function leaveUnframed(
  engines: readonly EngineStandIn[],
  random: SeededRandom,
): Promise<void> {
  const engine = engines[random.between(0, engines.length - 1)];
  if (!engine) return;
  engine.unframed = true;
  engine.breaksBy = random.pick(STREAM_BREAKS);
  await breakAnswers(engine, random, random.between(200, 2_500));
  engine.unframed = false;
  engine.breaksBy = STREAM_BREAKS[0];
}

async function breakAnswers(
  engine: EngineStandIn,
  random: SeededRandom,
  lastsMs: number,
): Promise<void> {
  engine.breaksAfter = random.between(0, 5);
  await sleep(lastsMs);
  engine.breaksAfter = null;
}
