/** Wires the packages into one daemon. */
import type { Server } from "node:http";
import {
  createEngineClient,
  createEngineFleet,
  createServiceClient,
  type EngineFleet,
} from "@rosemarypin/backends";
import {
  createClaimStore,
  createRecoveryLimiter,
  createServiceCaller,
} from "@rosemarypin/calls";
import {
  createMembership,
  createPeerCaller,
  type Membership,
  startPeerServer,
} from "@rosemarypin/membership";
import {
  createControlLease,
  createEngineController,
} from "@rosemarypin/placement";
import { createHttpObjectStore } from "@rosemarypin/platform";
import {
  collectStatus,
  createNoteKeeper,
  createPublisher,
  mayContinue,
} from "@rosemarypin/release";
import {
  createRouter,
  type Router,
  type RouterOptions,
} from "@rosemarypin/routing";
import type {
  BackendView,
  InstanceView,
  NoteConfirmation,
  Settings,
  Status,
} from "@rosemarypin/schemas";
import { createLogger, createMetrics } from "@rosemarypin/telemetry";
import { startAdminServer } from "./admin_server.ts";
import { startCallerServer } from "./caller_server.ts";
import { createWorkInProgress } from "./work_in_progress.ts";

/** How long an instance is unready before it stops, for balancers that lag. */
const BALANCER_LAG_MS = 1_000;

const log = createLogger("daemon");

/** A running daemon. */
export interface Daemon {
  /** Ends all work gracefully; resolves to whether none was cut. */
  stop(): Promise<boolean>;
}

/** Parts that a measurement may put in the place of the daemon's own. */
export interface DaemonParts {
  readonly createRouter?: (options: RouterOptions) => Router;
}

/** Starts a daemon with checked settings. */
export async function startDaemon(
  settings: Settings,
  parts: DaemonParts = {},
): Promise<Daemon> {
  const { deployment, instance } = settings;
  const { id, failureDomain, addresses } = instance;
  const incarnation = Date.now();
  const metrics = createMetrics();
  const work = createWorkInProgress();
  const store = createHttpObjectStore({
    url: settings.platform.objectApi,
    callsPerSecond: settings.platform.callsPerSecond,
    metrics,
  });
  const peers = createPeerCaller();
  const membership = await createMembership({
    id,
    failureDomain,
    peer: addresses.peers,
    incarnation,
    seeds: settings.peers,
    metrics,
  });
  const keeper = createNoteKeeper({
    deployment,
    store,
    membership,
    peers,
    metrics,
  });
  const engines = createEngineClient();
  const fleet = createEngineFleet({
    engines: settings.engines,
    client: engines,
  });
  const lease = createControlLease({
    deployment,
    failureDomain,
    holder: id,
    incarnation,
    store,
  });
  const controller = createEngineController({
    engines: settings.engines.filter(
      (engine) => engine.failureDomain === failureDomain,
    ),
    client: engines,
    fleet,
    keeper,
    lease,
  });
  const router = (parts.createRouter ?? createRouter)({
    fleet,
    failureDomain,
    limits: settings.limits,
    objectives: settings.objectives,
    seed: incarnation,
    metrics,
  });
  const publisher = createPublisher({
    deployment,
    instance: id,
    store,
    keeper,
  });
  const callService = createServiceCaller({
    keeper,
    services: settings.services,
    client: createServiceClient(),
    claims: createClaimStore({ deployment, owner: id, incarnation, store }),
    failureDomain,
  });
  let draining = false;

  function confirm(): NoteConfirmation {
    return {
      instance: id,
      failureDomain,
      incarnation,
      applied: keeper.current()?.number ?? 0,
      withdrawnRunning: countWithdrawn(fleet),
      knows: membership.peers().map(({ record }) => ({
        id: record.id,
        incarnation: record.incarnation,
        left: record.left,
      })),
      engines: [...controller.confirmations()],
    };
  }

  function countWithdrawn(known: EngineFleet): number {
    const record = keeper.current();
    if (!record) return 0;
    return known
      .engines()
      .flatMap(({ state }) => state?.running ?? [])
      .filter(
        (running) => !mayContinue(record, { ...running, adapter: undefined }),
      )
      .reduce((sum, { count }) => sum + count, 0);
  }

  function noteStatus(number: number) {
    return collectStatus(number, {
      membership,
      peers,
      own: confirm,
      engines: () => settings.engines,
    });
  }

  async function status(): Promise<Status> {
    const note = keeper.current()?.number ?? 0;
    const phase = note === 0 ? "none" : (await noteStatus(note)).phase;
    return {
      deployment,
      instance: id,
      startedAt: incarnation,
      note,
      phase,
      instances: viewInstances(membership),
      backends: viewBackends(fleet),
    };
  }

  const peerServer = await startPeerServer(addresses.peers, {
    "note.current": () => keeper.current(),
    "note.confirm": () => confirm(),
  });
  const adminServer = await startAdminServer({
    settings,
    metrics,
    publisher,
    status,
    noteStatus,
    isReady: () => !draining && keeper.current() !== null,
    drain: () => {
      draining = true;
      membership.share({ draining });
    },
  });
  const callerServer = await startCallerServer({
    settings,
    answers: {
      keeper,
      router,
      fleet,
      engines,
      parked: engines,
      recoveries: createRecoveryLimiter({ metrics }),
      metrics,
    },
    callService,
    metrics,
    work,
  });
  log.info("started", { instance: id, domain: failureDomain });

  return {
    async stop() {
      draining = true;
      membership.share({ draining });
      await new Promise((resolve) => setTimeout(resolve, BALANCER_LAG_MS));
      const stopAccepting = closeServer(callerServer);
      const ended = await work.waitForEnd(settings.shutdownGraceMs);
      controller.stop();
      lease.stop();
      router.stop();
      keeper.stop();
      fleet.stop();
      await membership.leave();
      callerServer.closeAllConnections();
      await stopAccepting;
      for (const server of [peerServer, adminServer]) {
        server.closeAllConnections();
        await closeServer(server);
      }
      log.info("stopped", { instance: id, all_work_ended: ended });
      return ended;
    },
  };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

function viewInstances(membership: Membership): InstanceView[] {
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

function viewBackends(fleet: EngineFleet): BackendView[] {
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
