/** Calls of plain services, with all that keeps them from running twice. */
import { createServiceClient, createServiceFleet } from "@rosemarypin/backends";
import {
  createClaimRegistry,
  createClaimSweeper,
  createObjectClaimStore,
  createResultRecorder,
  createServiceCaller,
} from "@rosemarypin/calls";
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import type { NoteKeeper } from "@rosemarypin/release";
import type { Settings } from "@rosemarypin/schemas";
import { type ObjectStore, readInstanceList } from "@rosemarypin/store";
import type { Metrics } from "@rosemarypin/telemetry";
import { claimOwnerMethods, createPeerClaimOwners } from "./claim_owners.ts";
import { finishRecording, resultHandOverMethods } from "./result_hand_over.ts";

const INSTANCE_LIST_EVERY_MS = 1_000;

export interface PlainServicesOptions {
  readonly settings: Settings;
  readonly incarnation: number;
  readonly store: ObjectStore;
  readonly keeper: NoteKeeper;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly metrics: Metrics;
}

/** Starts to follow the servers of all services. */
export function createPlainServices(options: PlainServicesOptions) {
  const { settings, incarnation, store, membership, peers } = options;
  const { deployment, services } = settings;
  const { id, failureDomain } = settings.instance;
  const fleet = createServiceFleet({
    services,
    client: createServiceClient(),
  });
  const registry = createClaimRegistry({ incarnation });
  const claims = createObjectClaimStore({
    deployment,
    owner: id,
    incarnation,
    store,
  });
  const resultRecorder = createResultRecorder({ claims });
  const call = createServiceCaller({
    keeper: options.keeper,
    services,
    fleet,
    claims,
    registry,
    owners: createPeerClaimOwners({ id, membership, peers, registry }),
    failureDomain,
    metrics: options.metrics,
    resultRecorder,
  });
  const sweeper = createClaimSweeper({
    deployment,
    services: services.map(({ name }) => name),
    store,
    instances: () => membership.peers().length + 1,
  });
  const listTimer = setInterval(() => void readList(), INSTANCE_LIST_EVERY_MS);

  async function readList(): Promise<void> {
    const { instanceList } = settings.platform;
    if (instanceList)
      fleet.applyInstanceList(await readInstanceList(instanceList));
  }

  return {
    call,
    /** What peers ask about calls that this instance claimed. */
    peerMethods: {
      ...claimOwnerMethods(registry),
      ...resultHandOverMethods(resultRecorder),
    },
    /** Resolves to whether no call result is lost with this instance. */
    finishRecording: (withinMs: number) =>
      finishRecording({
        recorder: resultRecorder,
        membership,
        peers,
        withinMs,
      }),
    stop(): void {
      fleet.stop();
      sweeper.stop();
      clearInterval(listTimer);
    },
  };
}
