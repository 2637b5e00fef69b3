/** A plan whose instances reach everything through relays. */
import type { Address } from "@rosemarypin/schemas";
import type { DaemonSettingsFile, DeploymentPlan } from "../deployment_plan.ts";

/** The name under which links know the platform's services. */
export const PLATFORM = "platform";

/** One relay: who is reached where, and how. */
export interface RelayPlan {
  readonly listen: Address;
  readonly target: Address;
  /** Name of the process behind the relay. */
  readonly to: string;
  /** The only one that uses the relay; left out, the sender's host tells. */
  readonly only?: string;
  readonly datagrams: boolean;
}

/** A plan, with the relays that it needs. */
export interface RelayedPlan {
  readonly plan: DeploymentPlan;
  readonly relays: readonly RelayPlan[];
  /** Name of each instance by the host that it sends from. */
  readonly hosts: ReadonlyMap<string, string>;
}

/** All of 127.0.0.0/8 is loopback; the launcher itself uses 127.0.0.1. */
function hostOf(index: number): string {
  return `127.0.0.${index + 2}`;
}

/**
 * Gives each instance a loopback host of its own, from which it speaks to
 * peers and at which it finds its relays to the platform and the backend
 * servers, under their own ports. Peers reach it at its planned address, where
 * its own relay listens. An engine finds the next engine of an answer at the
 * relay of the answer's instance, so a cut of that instance holds for it too.
 */
export function relayPlan(direct: DeploymentPlan): RelayedPlan {
  const relays: RelayPlan[] = [];
  const daemons = direct.daemons.map((daemon, index) => {
    const host = hostOf(index);
    const { id, addresses } = daemon.instance;
    const bound = { host, port: addresses.peers.port };
    const peers = { listen: addresses.peers, target: bound, to: id };
    relays.push({ ...peers, datagrams: true }, { ...peers, datagrams: false });
    relays.push(...relaysOf(id, { host, direct }));
    return relayDaemon(daemon, { host, bound });
  });
  const hosts = new Map(
    direct.daemons.map(({ instance }, index) => [hostOf(index), instance.id]),
  );
  return { plan: { ...direct, daemons }, relays, hosts };
}

/** Relays of one instance to all that it calls beside its peers. */
function relaysOf(
  only: string,
  options: { readonly host: string; readonly direct: DeploymentPlan },
): readonly RelayPlan[] {
  const { host, direct } = options;
  const platform = ["object-api", "instance-list", "weight-store"];
  return direct.standIns.map(({ name, settings }) => {
    const target = settings.address;
    const listen = { host, port: target.port };
    const to = platform.includes(name) ? PLATFORM : name;
    return { listen, target, to, only, datagrams: false };
  });
}

function relayDaemon(
  daemon: DaemonSettingsFile,
  options: { readonly host: string; readonly bound: Address },
): DaemonSettingsFile {
  const { host, bound } = options;
  const { addresses } = daemon.instance;
  const { objectApi, instanceList, weightStore } = daemon.platform;
  return {
    ...daemon,
    instance: {
      ...daemon.instance,
      addresses: {
        ...addresses,
        peers: bound,
        advertisedPeers: addresses.peers,
      },
    },
    platform: {
      objectApi: moveUrl(objectApi, host),
      ...(instanceList && { instanceList: moveUrl(instanceList, host) }),
      ...(weightStore && { weightStore: moveUrl(weightStore, host) }),
    },
    engines: daemon.engines.map((engine) => moveServer(engine, host)),
    services: daemon.services.map((service) => ({
      ...service,
      servers: service.servers.map((server) => moveServer(server, host)),
    })),
  };
}

function moveServer<T extends { readonly address: Address }>(
  server: T,
  host: string,
): T {
  return { ...server, address: { ...server.address, host } };
}

function moveUrl(url: string, host: string): string {
  const moved = new URL(url);
  moved.hostname = host;
  return moved.href.replace(/\/$/, "");
}
