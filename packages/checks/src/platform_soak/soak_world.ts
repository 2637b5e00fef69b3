/** The deployment of a run: instances as processes, faults on all links. */
import { join } from "node:path";
import {
  call,
  type Deployment,
  drawSettings,
  openServerLinks,
  type ServerLinks,
  START_TIMEOUT_MS,
  startDeployment,
  until,
  writeSettings,
} from "@rosemarypin/platform/stand_in";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import {
  createInstanceProcess,
  type InstanceProcess,
} from "./instance_process.ts";
import {
  callOptionsOf,
  type SoakKind,
  type SoakRequest,
} from "./soak_request.ts";
import {
  createVersions,
  SPARE_SERVERS,
  SPARE_SERVICE,
  type Versions,
} from "./versions.ts";

const GRACE_MS = 5_000;

export interface World {
  readonly deployment: Deployment;
  readonly instances: readonly InstanceProcess[];
  readonly proxies: readonly FaultProxy[];
  readonly doors: readonly { closed: boolean }[];
  /** Links of each instance to all servers. */
  readonly links: readonly ServerLinks[];
  readonly versions: Versions;
  /** Ids of the servers that say that they are about to stop. */
  readonly leaving: Set<string>;
  runsOf(id: string): number;
  stop(): Promise<void>;
}

export async function startWorld(folder: string): Promise<World> {
  const deployment = await startDeployment({
    engines: ["a", "a", "a", "a", "b", "b", "b", "b"],
    plainServers: ["a", "b", "a", "b"],
    instances: [],
    eventMs: 15,
    hasCompetition: true,
  });
  const versions = createVersions(deployment);
  const servers = [...deployment.engines, ...deployment.plainServers];
  const proxies: FaultProxy[] = [];
  const behind = new Map<string, string>();
  for (const server of servers) {
    const proxy = await startFaultProxy(server.address);
    proxies.push(proxy);
    behind.set(server.id, proxy.address);
    if ("held" in server) deployment.registry.set(proxy.address, server);
  }
  const leaving = new Set<string>();
  const enterAll = () => {
    for (const server of servers) {
      if (server.isUp()) {
        deployment.enter(server, {
          address: behind.get(server.id),
          state: leaving.has(server.id) ? "draining" : "ready",
          ...(SPARE_SERVERS.has(server.id) ? { service: SPARE_SERVICE } : {}),
        });
      } else deployment.store.remove("servers", server.id);
    }
  };
  enterAll();
  const heartbeat = setInterval(enterAll, 600);
  const links: ServerLinks[] = [];
  const doors: { closed: boolean }[] = [];
  const instances: InstanceProcess[] = [];
  for (const [index, domain] of ["a", "a", "b"].entries()) {
    const ownLinks = await openLinks();
    links.push(ownLinks);
    const door = await deployment.store.openDoor((text) =>
      withLinkAddresses(text, ownLinks, proxies),
    );
    doors.push(door);
    const settings = await drawSettings(`i-${index}`, {
      domain,
      storeAddress: door.address,
      graceMs: GRACE_MS,
    });
    const settingsFile = join(folder, `i-${index}.json`);
    writeSettings(settingsFile, settings);
    const instance = createInstanceProcess({
      name: `i-${index}`,
      url: `http://${settings.callers.host}:${settings.callers.port}`,
      settingsFile,
      logFile: join(folder, `i-${index}.log`),
    });
    instance.start();
    instances.push(instance);
  }

  /** Opens links to all servers; engines know each other by them too. */
  async function openLinks(): Promise<ServerLinks> {
    const opened = await openServerLinks(proxies.map(({ address }) => address));
    for (const engine of deployment.engines) {
      const address = behind.get(engine.id);
      if (address) deployment.registry.set(opened.addressOf(address), engine);
    }
    return opened;
  }

  return {
    deployment,
    instances,
    proxies,
    doors,
    links,
    versions,
    leaving,
    runsOf: (id) =>
      servers
        .flatMap<{ readonly requestId: string }>(({ runs }) => runs)
        .filter((run) => run.requestId === id).length,
    async stop() {
      clearInterval(heartbeat);
      await Promise.all(instances.map((instance) => instance.kill()));
      await Promise.all(links.map((each) => each.stop()));
      await Promise.all(proxies.map((proxy) => proxy.stop()));
      await deployment.stop();
    },
  };
}

/** Replaces the servers' addresses by those of an instance's links to them. */
function withLinkAddresses(
  text: string,
  links: ServerLinks,
  proxies: readonly FaultProxy[],
): string {
  return proxies.reduce(
    (rewritten, { address }) =>
      rewritten.replaceAll(`"${address}"`, `"${links.addressOf(address)}"`),
    text,
  );
}

/**
 * Waits until each instance answers each kind of request, so that the run tests
 * answers and not the start of the processes.
 */
export async function waitUntilServed({ instances }: World): Promise<void> {
  const kinds: readonly SoakKind[] = ["stream", "order", "lookup"];
  const checks = instances.flatMap(({ url }) =>
    kinds.map((kind) =>
      until(async () => {
        const answer = await call(url, callOptionsOf(requestFor(kind)));
        return answer.status === 200;
      }, START_TIMEOUT_MS),
    ),
  );
  await Promise.all(checks);
}

function requestFor(kind: SoakKind): SoakRequest {
  return { kind, events: 2, priority: 1, organisation: "farm" };
}
