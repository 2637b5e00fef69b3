/** Cuts and heals links by the names that scenarios use. */
import {
  type CutDirection,
  type Deployment,
  type DeploymentPlan,
  PLATFORM,
} from "@rosemarypin/launcher";
import type { Scenario, SimpleStep } from "./scenario_schema.ts";

/** All instances and backend servers that are not cut off themselves. */
const OTHERS = "others";

/** The cuts of one run. */
export interface Cuts {
  /** Returns the instances that are cut off. */
  cut(
    names: readonly string[],
    options: {
      readonly from: readonly string[];
      readonly direction: CutDirection;
    },
  ): readonly string[];
  /** Ends all cuts of just these names; returns their instances. */
  heal(names: readonly string[]): readonly string[];
}

/** Whether a scenario needs links that can be cut. */
export function hasCuts({ steps }: Scenario): boolean {
  const simple: readonly SimpleStep[] = steps.flatMap((step) =>
    "race" in step ? step.race : [step],
  );
  return simple.some((step) => "cut" in step);
}

/** Creates the cuts of a deployment; none of its links is cut. */
export function createCuts({ plan, links }: Deployment): Cuts {
  const heals = new Map<string, (() => void)[]>();
  const instances = plan.daemons.map(({ instance }) => instance.id);

  function instancesOf(names: readonly string[]): readonly string[] {
    const cutOff = expand(names, plan);
    return instances.filter((id) => cutOff.has(id));
  }

  return {
    cut(names, { from, direction }) {
      if (!links) throw new Error("the deployment has no links to cut");
      const cutOff = expand(names, plan);
      const far = from.flatMap((name) =>
        name === OTHERS
          ? [...placesOf(plan).keys()].filter((other) => !cutOff.has(other))
          : [...expand([name], plan)],
      );
      const heal = links.cut({ names: cutOff, from: new Set(far), direction });
      const key = names.join(" ");
      heals.set(key, [...(heals.get(key) ?? []), heal]);
      return instancesOf(names);
    },
    heal(names) {
      const key = names.join(" ");
      const ended = heals.get(key);
      if (!ended) throw new Error(`nothing cut '${key}' off`);
      heals.delete(key);
      for (const heal of ended) heal();
      return instancesOf(names);
    },
  };
}

/** The failure domain of each instance and backend server. */
function placesOf(plan: DeploymentPlan): ReadonlyMap<string, string> {
  return new Map(
    [
      ...plan.daemons.map(({ instance }) => instance),
      ...plan.engines,
      ...plan.services.servers,
    ].map(({ id, failureDomain }) => [id, failureDomain]),
  );
}

function expand(
  names: readonly string[],
  plan: DeploymentPlan,
): ReadonlySet<string> {
  const places = placesOf(plan);
  return new Set(
    names.flatMap((name) => {
      if (name === PLATFORM || places.has(name)) return [name];
      const inDomain = [...places].filter(([, domain]) => domain === name);
      if (inDomain.length === 0) throw new Error(`the cast has no '${name}'`);
      return inDomain.map(([id]) => id);
    }),
  );
}
