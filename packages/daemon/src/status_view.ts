/** What one instance shows of itself, its peers and its backend servers. */
import type { EngineFleet } from "@rosemarypin/backends";
import type { Membership } from "@rosemarypin/membership";
import type { BackendView, InstanceView } from "@rosemarypin/schemas";

/** This instance first, then its peers as it knows them. */
export function viewInstances(membership: Membership): InstanceView[] {
  const self = membership.self();
  const own: InstanceView = {
    id: self.id,
    failureDomain: self.failureDomain,
    state: "alive",
    ...self.shared,
    heardAgoMs: 0,
  };
  const others = membership.peers().map(({ record, state, heardAt }) => ({
    id: record.id,
    failureDomain: record.failureDomain,
    state,
    ...record.shared,
    heardAgoMs: Math.round(performance.now() - heardAt),
  }));
  return [own, ...others];
}

/** The engines as this instance knows them. */
export function viewBackends(fleet: EngineFleet): BackendView[] {
  return fleet.engines().map(({ settings, state, usable, inFlight }) => ({
    id: settings.id,
    kind: "engine",
    name: settings.roles.map(({ model }) => model).join(","),
    failureDomain: settings.failureDomain,
    state: state?.leaving ? "leaving" : usable ? "ready" : "unreachable",
    holds: (state?.held ?? []).map(
      ({ model, version, layers }) =>
        `${model}/${version}:${layers.from}-${layers.to}`,
    ),
    inFlight,
    load: state?.load ?? 0,
  }));
}
