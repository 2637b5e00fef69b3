/** Orders to the engines of each failure domain, while its lease is held. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { Membership } from "@rosemarypin/membership";
import {
  createControlLease,
  createEngineController,
  createPlacer,
  isLeaseCandidate,
} from "@rosemarypin/placement";
import type { NoteKeeper } from "@rosemarypin/release";
import type { Settings } from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import type { Metrics } from "@rosemarypin/telemetry";
import { listCandidates, listUsable } from "./known_state.ts";
import { createLoader } from "./weight_loads.ts";

export interface EngineControlOptions {
  readonly settings: Settings;
  readonly incarnation: number;
  readonly store: ObjectStore;
  readonly keeper: NoteKeeper;
  readonly membership: Membership;
  readonly fleet: EngineFleet;
  readonly client: EngineClient;
  readonly metrics: Metrics;
}

type Controlled = ReturnType<typeof controlDomain>;

/** Starts to try for the lease of each domain that has engines. */
export function createEngineControl(options: EngineControlOptions) {
  const { engines } = options.settings;
  const domains = new Set(engines.map(({ failureDomain }) => failureDomain));
  const loader = createLoader(options.settings);
  const controlled = [...domains].map((failureDomain) =>
    controlDomain({ ...options, failureDomain, loader }),
  );

  return {
    /** Looks again at what engines hold. */
    recheck(names: readonly string[]): void {
      for (const { controller } of controlled) controller.recheck(names);
    },
    /** Which note the engines of this instance's domains confirmed. */
    confirmations: () =>
      controlled.flatMap(({ controller }) => controller.confirmations()),
    /** Ends all orders and gives the leases back. */
    async stop(): Promise<void> {
      await Promise.all(controlled.map(endControl));
    },
  };
}

function controlDomain(
  options: EngineControlOptions & {
    readonly failureDomain: string;
    readonly loader: ReturnType<typeof createLoader>;
  },
) {
  const { settings, failureDomain, keeper, fleet, membership } = options;
  const { id } = settings.instance;
  const lease = createControlLease({
    deployment: settings.deployment,
    failureDomain,
    holder: id,
    incarnation: options.incarnation,
    store: options.store,
    isCandidate: () =>
      isLeaseCandidate(listCandidates(membership), { id, failureDomain }),
    onAcquired: () => void keeper.refresh().then(() => controller.wake()),
  });
  const engines = settings.engines.filter(
    (engine) => engine.failureDomain === failureDomain,
  );
  const placer = createPlacer({
    failureDomain,
    engines,
    settings: settings.placement,
    keeper,
    lease,
    loader: options.loader,
    usable: () => listUsable(fleet),
    metrics: options.metrics,
  });
  const { client } = options;
  const parts = { engines, client, fleet, keeper, lease, placer };
  const controller = createEngineController(parts);
  return { lease, controller, placer };
}

/** The lease goes back last: the next holder orders as soon as it is free. */
async function endControl(control: Controlled): Promise<void> {
  control.placer.stop();
  await control.controller.stop();
  await control.lease.release();
}
