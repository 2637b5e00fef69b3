/** One entry instance: the real caller of services over fakes. */
import { createServiceFleet, type ServiceClient } from "@rosemarypin/backends";
import {
  type ClaimOwners,
  type ClaimRegistry,
  createClaimRegistry,
  createObjectClaimStore,
  createResultRecorder,
  createServiceCaller,
} from "@rosemarypin/calls";
import {
  emptyCatalogue,
  type NoteRecord,
  type ServiceSettings,
} from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import type { Faults } from "./faults.ts";
import type { Interleaving, SimulatedProcess } from "./interleaving.ts";

const FAULT_CHANCE = 0.1;
/** What an owner may take beyond the wait that it was asked for. */
const REPLY_MS = 500;
const DOMAIN = "ng-south-a";

export const SERVICE = "dealer-app";

/** A process of the deployment; a restart makes another one. */
export interface Instance {
  readonly id: string;
  readonly process: SimulatedProcess;
  readonly registry: ClaimRegistry;
  readonly call: ReturnType<typeof createServiceCaller>;
}

export interface InstanceOptions {
  readonly id: string;
  readonly incarnation: number;
  readonly store: ObjectStore;
  readonly client: ServiceClient;
  readonly withLookup: boolean;
  readonly interleaving: Interleaving;
  readonly faults: Faults;
  /** The instances that now run. */
  readonly running: () => readonly Instance[];
}

/** Starts an instance. */
export function startInstance(options: InstanceOptions): Instance {
  const { id, incarnation, store, client, interleaving, faults } = options;
  const registry = createClaimRegistry({ incarnation });
  const process = { name: `${id}.${incarnation}` };
  const services = [serviceSettings(options.withLookup)];
  const owners: ClaimOwners = {
    async ask(claim, { waitMs }) {
      const { owner, requestId } = claim;
      const question = { incarnation: claim.incarnation, requestId, waitMs };
      if (owner === id) return registry.ask(question);
      await interleaving.pause(`asks ${owner} about ${requestId}`);
      if (faults.strikes(FAULT_CHANCE)) return { kind: "no_reply" };
      const target = options.running().find((other) => other.id === owner);
      if (!target) return { kind: "process_ended" };
      const word = interleaving.run(target.process, async () => {
        await interleaving.pause(`is asked about ${requestId}`);
        return target.registry.ask(question);
      });
      const silence = interleaving
        .sleep(waitMs + REPLY_MS)
        .then(() => ({ kind: "no_reply" as const }));
      const result = await Promise.race([word, silence]);
      await interleaving.pause(`hears '${result.kind}' of ${requestId}`);
      return result;
    },
  };
  const claims = createObjectClaimStore({
    deployment: "check",
    owner: id,
    incarnation,
    store,
  });
  const call = createServiceCaller({
    keeper: { fresh: async () => NOTE },
    services,
    fleet: createServiceFleet({ services, client, random: () => 0 }),
    claims,
    registry,
    owners,
    failureDomain: DOMAIN,
    resultRecorder: createResultRecorder({ claims }),
  });
  return { id, process, registry, call };
}

const NOTE: NoteRecord = {
  number: 1,
  note: {
    supersedes: 0,
    publishId: "check",
    reason: "check",
    added: [],
    changed: [],
    withdrawn: [],
  },
  catalogue: { ...emptyCatalogue, services: [SERVICE] },
  recordedAt: 0,
  recordedBy: "check",
};

function serviceSettings(withLookup: boolean): ServiceSettings {
  const address = { host: "127.0.0.1", port: 1 };
  return {
    name: SERVICE,
    servers: ["one", "two"].map((id) => ({
      id,
      address,
      failureDomain: DOMAIN,
    })),
    calls: [{ method: "POST", path: "/orders", idempotent: false }],
    timeoutMs: 5_000,
    ...(withLookup ? { lookup: { path: "/orders/by-key/{key}" } } : {}),
  };
}
