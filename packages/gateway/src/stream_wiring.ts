/** Assembles what admits streams and chooses engines for them. */
import { createUdpTransport } from "@rosemarypin/membership";
import type { BackendFleet } from "./backends/mod.ts";
import type { Service } from "./configuration.ts";
import type { ConfigurationKeeper, Presence } from "./following/mod.ts";
import type { GatewaySettings } from "./settings.ts";
import {
  chooseUsageDestinations,
  createAdmissionQueues,
  createDemandBoard,
  createDomainLoadLimits,
  createEngineUsage,
  createModelClassLevels,
  createPipelineRouter,
  startUsageExchange,
} from "./streams/mod.ts";

/**
 * Starts the choice of engines for streams, and the exchange of its figures with
 * other instances where the settings name an address for it.
 */
export async function startStreamRouting({
  settings,
  keeper,
  fleet,
  presence,
  services,
  signal,
}: {
  readonly settings: GatewaySettings;
  readonly keeper: ConfigurationKeeper;
  readonly fleet: BackendFleet;
  readonly presence: Presence;
  readonly services: () => readonly Service[];
  readonly signal: AbortSignal;
}) {
  const { instance, failureDomain, peers } = settings;
  const engineUsage = createEngineUsage();
  const demandBoard = createDemandBoard({
    failureDomain,
    liveOthers: presence.liveOthers,
  });
  const classLevels = createModelClassLevels({
    board: demandBoard,
    fleet,
    configuration: keeper.applied,
    signal,
  });
  const domainLimits = createDomainLoadLimits({
    fleet,
    failureDomain,
    demand: demandBoard,
  });
  const router = createPipelineRouter({
    fleet,
    failureDomain,
    usage: engineUsage,
    possibleSendersOf: presence.possibleSendersOf,
    domainLoadLimit: (domain, service) => domainLimits.limitOf(service, domain),
  });
  const queues = createAdmissionQueues({
    router,
    loadLimitOf: classLevels.loadLimitOf,
    recorder: demandBoard,
  });
  engineUsage.onFreed(queues.pump);
  classLevels.onChanged(queues.pump);
  fleet.onChanged(queues.fleetChanged);
  if (peers) {
    startUsageExchange({
      transport: await createUdpTransport(peers),
      instance,
      address: peers,
      failureDomain,
      usage: engineUsage,
      demand: demandBoard,
      destinations: () =>
        chooseUsageDestinations(failureDomain, presence.liveOthers()),
      engineIds: fleet.ids,
      serviceNames: () => services().map(({ name }) => name),
      countDomainInstances: () =>
        1 + presence.possibleSendersOf(failureDomain).length,
      signal,
    });
  }
  return { demandBoard, classLevels, domainLimits, router, queues };
}
