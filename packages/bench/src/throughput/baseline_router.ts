/** Baselines that today's policy is measured against. */
import type { EngineFleet, EngineSnapshot } from "@rosemarypin/backends";
import type { GrantRequest, GrantResult, Router } from "@rosemarypin/routing";
import type { Stage } from "@rosemarypin/schemas";

/** Names of the baselines. */
export const baselineNames = [
  "random",
  "round_robin",
  "least_in_flight",
] as const;
export type BaselineName = (typeof baselineNames)[number];

/** Picks one of the engines that hold the next layers. */
type Pick = (engines: readonly EngineSnapshot[]) => EngineSnapshot | undefined;

/** Creates a router that grants at once and never refuses for load. */
export function createBaselineRouter(
  name: BaselineName,
  options: { readonly fleet: EngineFleet },
): Router {
  const pick = createPick(name);

  function chooseStages(need: GrantRequest): Stage[] | null {
    const stages: Stage[] = [];
    let layer = 0;
    while (layer < need.version.layers) {
      const engine = pick(
        options.fleet.engines().filter((known) => startsAt(known, need, layer)),
      );
      const held = engine?.state?.held.find(
        ({ layers }) => layers.from === layer,
      );
      if (!engine || !held) return null;
      const { id, address } = engine.settings;
      stages.push({ engine: id, address, layers: held.layers });
      layer = held.layers.to;
    }
    return stages;
  }

  async function acquire(need: GrantRequest): Promise<GrantResult> {
    const stages = chooseStages(need);
    if (!stages) {
      return { kind: "refused", code: "no_capacity", retryAfterSeconds: 1 };
    }
    const release = options.fleet.occupy(stages.map(({ engine }) => engine));
    const grant = { stages, observeToken: () => {}, release };
    return { kind: "granted", grant };
  }

  return { acquire, covers: () => true, stop: () => {} };
}

function startsAt(
  known: EngineSnapshot,
  need: GrantRequest,
  layer: number,
): boolean {
  if (!known.usable || need.avoid.has(known.settings.id)) return false;
  return (known.state?.held ?? []).some(
    ({ version, layers }) =>
      version === need.version.version && layers.from === layer,
  );
}

function createPick(name: BaselineName): Pick {
  let turn = 0;
  switch (name) {
    case "random":
      return (engines) => engines[Math.floor(Math.random() * engines.length)];
    case "round_robin":
      return (engines) => {
        turn += 1;
        return engines[turn % Math.max(1, engines.length)];
      };
    case "least_in_flight":
      return (engines) =>
        [...engines].sort((a, b) => a.inFlight - b.inFlight)[0];
  }
}
