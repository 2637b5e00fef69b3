/** Keeps the choice of engines in step with the instances that are alive. */
import { chooseEngines, type EngineSubset } from "@rosemarypin/backends";
import type { Membership } from "@rosemarypin/membership";
import type { EngineSettings } from "@rosemarypin/schemas";

/** Creates the choice of engines, made anew when instances come or go. */
export function createSubsetChoice(options: {
  readonly engines: readonly EngineSettings[];
  readonly membership: Membership;
}): () => EngineSubset {
  const { engines, membership } = options;
  let madeFor: string | null = null;
  let subset: EngineSubset | null = null;

  return () => {
    const self = membership.self();
    const peers = membership.peers().filter(({ state }) => state === "alive");
    const members = [self, ...peers.map(({ record }) => record)];
    const key = members.map(({ id }) => id).join(" ");
    if (subset && key === madeFor) return subset;
    madeFor = key;
    subset = chooseEngines(engines, { self, members });
    return subset;
  };
}
