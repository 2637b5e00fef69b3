/** Describes a deployment: which processes, where, with which settings. */
import { createHash } from "node:crypto";
import { claimPorts } from "@rosemarypin/ports";
import {
  type Address,
  type EngineSettings,
  formatAddress,
  type InstanceList,
  type LayerRange,
  type Organisation,
  type ServiceSettings,
  type Settings,
} from "@rosemarypin/schemas";
import type { EngineSpeed, StandInSettings } from "@rosemarypin/stand_ins";

const HOST = "127.0.0.1";
const PORTS_PER_INSTANCE = 3;
/** Object API, instance list and weight store. */
const PLATFORM_PORTS = 3;
const INSTANCE_LIST_LAG_MS = 3_000;
const MEGABYTES_PER_SECOND = 1_000;

/** One group of engines that hold the same layers on the same accelerator. */
export interface EngineGroup {
  readonly accelerator: string;
  readonly layers: LayerRange;
  readonly checksFencing: boolean;
  readonly speed: EngineSpeed;
  /** Engines in each failure domain. */
  readonly perDomain: number;
}

/** What a deployment is made of. */
export interface DeploymentShape {
  readonly deployment: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly instances: number;
  readonly model: string;
  readonly engineGroups: readonly EngineGroup[];
  /** Engines whose layers placement decides; see `overrides.placement`. */
  readonly placedGroups?: readonly Omit<EngineGroup, "layers">[];
  readonly service: {
    readonly name: string;
    readonly servers: number;
    readonly calls: ServiceSettings["calls"];
  };
  readonly organisations: readonly {
    readonly name: string;
    readonly key: string;
    readonly priority: Organisation["priority"];
    readonly weight: number;
  }[];
  readonly adminKey: string;
  /** Overrides of each daemon's settings. */
  readonly overrides?: Partial<
    Pick<Settings, "limits" | "release" | "balancerLagMs" | "placement">
  >;
}

/** Settings of every process of a deployment. */
export interface DeploymentPlan {
  readonly shape: DeploymentShape;
  readonly daemons: readonly DaemonSettingsFile[];
  readonly standIns: readonly {
    readonly name: string;
    readonly settings: StandInSettings;
  }[];
  readonly objectApi: string;
  readonly services: ServiceSettings;
  readonly engines: readonly EngineSettings[];
}

/** A daemon's settings as the file holds them, defaults left out. */
export type DaemonSettingsFile = Pick<
  Settings,
  | "deployment"
  | "region"
  | "failureDomains"
  | "instance"
  | "adminKeySha256"
  | "peers"
  | "organisations"
  | "engines"
> & {
  readonly platform: Pick<
    Settings["platform"],
    "objectApi" | "instanceList" | "weightStore"
  >;
  readonly services: readonly ServiceSettings[];
} & NonNullable<DeploymentShape["overrides"]>;

/** Gives each process of `shape` its addresses and settings. */
export async function planDeployment(
  shape: DeploymentShape,
): Promise<DeploymentPlan> {
  const engineCount = listGroups(shape).reduce(
    (sum, { perDomain }) => sum + perDomain * shape.domains.length,
    0,
  );
  const ports = await claimPorts(
    PLATFORM_PORTS +
      engineCount +
      shape.service.servers +
      shape.instances * PORTS_PER_INSTANCE,
  );
  const nextAddress = (): Address => {
    const port = ports.shift();
    if (port === undefined) throw new Error("too few ports were found");
    return { host: HOST, port };
  };
  const objectApiAddress = nextAddress();
  const instanceListAddress = nextAddress();
  const weightStoreAddress = nextAddress();
  const engines = planEngines(shape, nextAddress);
  const services = planService(shape, nextAddress);
  const instances = Array.from({ length: shape.instances }, (_, index) => ({
    id: `entry-${index + 1}`,
    failureDomain: shape.domains[index % shape.domains.length] ?? "",
    addresses: {
      callers: nextAddress(),
      peers: nextAddress(),
      admin: nextAddress(),
    },
  }));
  const objectApi = `http://${formatAddress(objectApiAddress)}`;
  const instanceList = `http://${formatAddress(instanceListAddress)}/instances`;
  const weightStore = `http://${formatAddress(weightStoreAddress)}`;
  const daemons = instances.map(
    (instance): DaemonSettingsFile => ({
      deployment: shape.deployment,
      region: shape.region,
      instance,
      adminKeySha256: sha256(shape.adminKey),
      failureDomains: [...shape.domains],
      platform: { objectApi, instanceList, weightStore },
      peers: instances
        .filter(({ id }) => id !== instance.id)
        .map(({ id, failureDomain, addresses }) => ({
          id,
          failureDomain,
          address: addresses.peers,
        })),
      organisations: shape.organisations.map(({ key, ...organisation }) => ({
        ...organisation,
        keySha256: sha256(key),
      })),
      engines: engines.map(({ settings }) => settings),
      services: [services],
      ...shape.overrides,
    }),
  );
  return {
    shape,
    daemons,
    objectApi,
    services,
    engines: engines.map(({ settings }) => settings),
    standIns: [
      {
        name: "object-api",
        settings: { kind: "object_api", address: objectApiAddress },
      },
      {
        name: "instance-list",
        settings: {
          kind: "instance_list",
          address: instanceListAddress,
          lagMs: INSTANCE_LIST_LAG_MS,
          initial: { instances: listInstances({ daemons, engines, services }) },
        },
      },
      {
        name: "weight-store",
        settings: {
          kind: "weight_store",
          address: weightStoreAddress,
          megabytesPerSecond: MEGABYTES_PER_SECOND,
        },
      },
      ...engines.map(({ settings, speed }) => ({
        name: settings.id,
        settings: { kind: "engine" as const, ...settings, speed },
      })),
      ...services.servers.map(({ id, address }) => ({
        name: id,
        settings: { kind: "service" as const, id, address },
      })),
    ],
  };
}

/** Everything that answers, as the platform would list it. */
function listInstances(parts: {
  readonly daemons: readonly DaemonSettingsFile[];
  readonly engines: readonly { readonly settings: EngineSettings }[];
  readonly services: ServiceSettings;
}): InstanceList["instances"] {
  const { daemons, engines, services } = parts;
  const entries = daemons.map(({ deployment, instance }) => ({
    id: instance.id,
    kind: "entry" as const,
    name: deployment,
    failureDomain: instance.failureDomain,
    ...instance.addresses.callers,
    state: "live" as const,
  }));
  const models = engines.map(({ settings }) => ({
    id: settings.id,
    kind: "engine" as const,
    name: settings.roles[0]?.model ?? settings.id,
    failureDomain: settings.failureDomain,
    ...settings.address,
    state: "live" as const,
  }));
  const servers = services.servers.map(({ id, failureDomain, address }) => ({
    id,
    kind: "service" as const,
    name: services.name,
    failureDomain,
    ...address,
    state: "live" as const,
  }));
  return [...entries, ...models, ...servers];
}

function listGroups({ model, engineGroups, placedGroups }: DeploymentShape) {
  return [
    ...engineGroups.map((group) => ({
      ...group,
      roles: [{ model, layers: group.layers }],
    })),
    ...(placedGroups ?? []).map((group) => ({ ...group, roles: [] })),
  ];
}

function planEngines(shape: DeploymentShape, nextAddress: () => Address) {
  let count = 0;
  return shape.domains.flatMap((failureDomain) =>
    listGroups(shape).flatMap((group) =>
      Array.from({ length: group.perDomain }, () => {
        count += 1;
        const settings: EngineSettings = {
          id: `engine-${count}`,
          failureDomain,
          address: nextAddress(),
          accelerator: group.accelerator,
          checksFencing: group.checksFencing,
          roles: [...group.roles],
        };
        return { settings, speed: group.speed };
      }),
    ),
  );
}

function planService(
  shape: DeploymentShape,
  nextAddress: () => Address,
): ServiceSettings {
  const { name, servers, calls } = shape.service;
  return {
    name,
    calls,
    health: { path: "/health" },
    lookup: { path: "/orders/by-key/{key}" },
    timeoutMs: 5_000,
    servers: Array.from({ length: servers }, (_, index) => ({
      id: `${name}-${index + 1}`,
      failureDomain: shape.domains[index % shape.domains.length] ?? "",
      address: nextAddress(),
    })),
  };
}

/** SHA-256 in hexadecimal, as settings hold keys. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
