/** Wires the packages into one daemon. */
import {
  createEngineClient,
  createEngineFleet,
  createServiceClient,
  createServiceFleet,
} from "@rosemarypin/backends";
import {
  createClaimRegistry,
  createClaimSweeper,
  createEndRecorder,
  createLinkSpeeds,
  createRecordClaims,
  createRecoveryLimiter,
  createServiceCaller,
} from "@rosemarypin/calls";
import {
  createLimitHome,
  createLimitsOf,
  createSharedLimits,
} from "@rosemarypin/limits";
import {
  createMembership,
  createPeerCaller,
  startPeerServer,
} from "@rosemarypin/membership";
import {
  type ControlLease,
  createControlLease,
  createEngineController,
  createPlacer,
  type EngineController,
  isLeaseCandidate,
  type Placer,
} from "@rosemarypin/placement";
import {
  createHttpObjectStore,
  readInstanceList,
  readPeerHints,
} from "@rosemarypin/platform";
import {
  createConfirmer,
  createNoteKeeper,
  createPublisher,
  createRegistration,
  createStatusCollector,
  rankInDomain,
  readRegistry,
} from "@rosemarypin/release";
import {
  createRouter,
  type Router,
  type RouterOptions,
} from "@rosemarypin/routing";
import {
  noteRequestSchema,
  type Settings,
  type Status,
} from "@rosemarypin/schemas";
import { createLogger, createMetrics } from "@rosemarypin/telemetry";
import { startAdminServer } from "./admin_server.ts";
import { startCallerServer } from "./caller_server.ts";
import { claimOwnerMethods, createPeerClaimOwners } from "./claim_owners.ts";
import { endHandOverMethods, finishEnds } from "./end_hand_over.ts";
import {
  createEngineNotices,
  ENGINES_CHANGED,
  readEngineNotice,
} from "./engine_notices.ts";
import {
  closeGracefully,
  closeNow,
  closeRest,
  waitForQuiet,
} from "./graceful_close.ts";
import { countNotes, createInstanceLevels } from "./instance_levels.ts";
import {
  hasHeardEachRole,
  highestNoteOf,
  listCandidates,
  listUsable,
} from "./known_state.ts";
import { createLimitHomes, limitHomeMethods } from "./limit_homes.ts";
import { createNoteInspector } from "./note_inspector.ts";
import { createRequestFinder, requestFinderMethods } from "./request_finder.ts";
import { createRequestMemory } from "./request_memory.ts";
import { viewBackends, viewInstances } from "./status_view.ts";
import { createSubsetChoice } from "./subset_choice.ts";
import { createLoader } from "./weight_loads.ts";
import { createWorkInProgress } from "./work_in_progress.ts";

const INSTANCE_LIST_EVERY_MS = 1_000;
/** A balancer that sends nothing for so long has seen the drain. */
const QUIET_MS = 300;
const QUIET_WITHIN_MS = 5_000;

/** After this long, engines that stay silent are taken to be away. */
const ENGINES_HEARD_WITHIN_MS = 3_000;

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
  const peers = createPeerCaller(addresses.peers.host);
  const peer = addresses.advertisedPeers ?? addresses.peers;
  const membership = await createMembership({
    id,
    failureDomain,
    peer,
    listen: addresses.peers,
    incarnation,
    seeds: settings.peers,
    metrics,
    hints: () => readPeerHints(settings.platform.instanceList),
    forgetSilentAfterMs: 2_000 * settings.release.serveWithoutContactSeconds,
  });
  const store = createHttpObjectStore({
    url: settings.platform.objectApi,
    callsPerSecond: settings.platform.callsPerSecond,
    instances: () => membership.peers().length + 1,
    metrics,
  });
  const { refusedConnectionShowsEnd } = settings.release;
  const allowanceMs = settings.release.serveWithoutContactSeconds * 1_000;
  const registration = createRegistration({
    deployment,
    self: { id, failureDomain, incarnation, peer },
    allowanceMs,
    store,
    peers,
    isPruner: () => rankInDomain(membership) === 0,
    refusedConnectionShowsEnd,
    onListed: () => void keeper.refresh(),
  });
  const keeper = createNoteKeeper({
    deployment,
    store,
    membership,
    peers,
    allowanceMs,
    listedSince: registration.listedSince,
    hintedNumber: () => highestNoteOf(fleet),
    metrics,
  });
  const engines = createEngineClient();
  const noticeEngine = createEngineNotices({ membership, peers });
  const fleet = createEngineFleet({
    engines: settings.engines,
    client: engines,
    subset: createSubsetChoice({ engines: settings.engines, membership }),
    onChanged(engine) {
      recheckOrders([engine]);
      noticeEngine(engine);
    },
  });
  const domains = [
    ...new Set(settings.engines.map((engine) => engine.failureDomain)),
  ];
  const loader = createLoader(settings);
  const controllers = domains.map((domain) => controlDomain(domain));

  function recheckOrders(engines: readonly string[]): void {
    for (const { controller } of controllers) controller.recheck(engines);
  }

  function controlDomain(domain: string) {
    const lease = createControlLease({
      deployment,
      failureDomain: domain,
      holder: id,
      incarnation,
      store,
      isCandidate: () =>
        isLeaseCandidate(listCandidates(membership), {
          id,
          failureDomain: domain,
        }),
      onHeld: () => void keeper.refresh().then(() => controller.wake()),
    });
    const ownEngines = settings.engines.filter(
      (engine) => engine.failureDomain === domain,
    );
    const placer = createPlacer({
      failureDomain: domain,
      engines: ownEngines,
      settings: settings.placement,
      keeper,
      lease,
      loader,
      usable: () => listUsable(fleet),
      metrics,
    });
    const controller = createEngineController({
      engines: ownEngines,
      client: engines,
      fleet,
      keeper,
      lease,
      placer,
    });
    return { lease, controller, placer };
  }

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
  const services = createServiceFleet({
    services: settings.services,
    client: createServiceClient(),
  });
  const registry = createClaimRegistry({ incarnation });
  const claims = createRecordClaims({
    deployment,
    owner: id,
    incarnation,
    store,
  });
  const ends = createEndRecorder({ claims });
  const callService = createServiceCaller({
    keeper,
    services: settings.services,
    fleet: services,
    claims,
    registry,
    owners: createPeerClaimOwners({ id, membership, peers, registry }),
    failureDomain,
    metrics,
    ends,
  });
  const requests = createRequestMemory({ instance: id });
  const limitsOf = createLimitsOf(settings.organisations);
  const limitHome = createLimitHome({ limitsOf });
  const limits = createSharedLimits({
    limitsOf,
    homes: createLimitHomes({ id, membership, peers, home: limitHome }),
  });
  const levels = createInstanceLevels(settings);
  countNotes(keeper, { levels, objectives: settings.objectives });
  const sweeper = createClaimSweeper({
    deployment,
    services: settings.services.map(({ name }) => name),
    store,
    instances: () => membership.peers().length + 1,
  });
  const listTimer = setInterval(() => void readList(), INSTANCE_LIST_EVERY_MS);

  async function readList(): Promise<void> {
    const { instanceList } = settings.platform;
    if (instanceList) services.takeList(await readInstanceList(instanceList));
  }

  let draining = false;

  /**
   * A balancer that trusts a new instance too early sends it requests that it
   * must refuse: it has the note, and has not heard the engines yet.
   */
  function knowsEngines(): boolean {
    const isLate = Date.now() - incarnation > ENGINES_HEARD_WITHIN_MS;
    return isLate || hasHeardEachRole(fleet);
  }

  const confirmer = createConfirmer({
    membership,
    keeper,
    engines: () =>
      controllers.flatMap(({ controller }) => controller.confirmations()),
  });
  const { status: noteStatus } = createStatusCollector({
    membership,
    peers,
    keeper,
    confirmer,
    engines: () => settings.engines,
    readRegistry: () => readRegistry({ deployment, store }),
    allowanceMs,
    refusedConnectionShowsEnd,
  });

  async function status(): Promise<Status> {
    const note = keeper.applied()?.number ?? 0;
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
    "note.current": (params) => keeper.answer(noteRequestSchema.parse(params)),
    "note.confirm": (params) => confirmer.confirm(params),
    "note.ping": () => true,
    [ENGINES_CHANGED](params) {
      const changed = readEngineNotice(params);
      fleet.recheck(changed);
      recheckOrders(changed);
    },
    ...claimOwnerMethods(registry),
    ...endHandOverMethods(ends),
    ...requestFinderMethods(requests),
    ...limitHomeMethods(limitHome),
  });
  const adminServer = await startAdminServer({
    settings,
    metrics,
    publisher,
    inspector: createNoteInspector({ keeper, publisher }),
    serviceLevels: levels.read,
    findRequest: createRequestFinder({ memory: requests, membership, peers }),
    status,
    noteStatus,
    isReady: () => !draining && keeper.current() !== null && knowsEngines(),
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
      links: createLinkSpeeds(),
      metrics,
    },
    callService,
    metrics,
    levels,
    work,
    requests,
    limits,
  });
  callerServer.prependListener("request", (_request, response) => {
    if (draining) response.setHeader("connection", "close");
  });
  log.info("started", { instance: id, domain: failureDomain });

  return {
    async stop() {
      draining = true;
      membership.share({ draining });
      await new Promise((resolve) =>
        setTimeout(resolve, settings.balancerLagMs),
      );
      await waitForQuiet(callerServer, {
        quietMs: QUIET_MS,
        withinMs: QUIET_WITHIN_MS,
      });
      const stopAccepting = closeGracefully(callerServer);
      const cutAt = performance.now() + settings.shutdownGraceMs;
      const answered = await work.waitForEnd(settings.shutdownGraceMs);
      const recorded = await finishEnds({
        ends,
        membership,
        peers,
        withinMs: cutAt - performance.now(),
      });
      const ended = answered && recorded;
      // The goodbye is evidence that this instance answers nothing any more,
      // so it comes after the last connection.
      await closeRest(callerServer, stopAccepting);
      await Promise.all(controllers.map(endControl));
      router.stop();
      keeper.stop();
      fleet.stop();
      await registration.leave();
      services.stop();
      limits.stop();
      sweeper.stop();
      clearInterval(listTimer);
      await membership.leave();
      for (const server of [peerServer, adminServer]) {
        await closeNow(server);
      }
      log.info("stopped", { instance: id, all_work_ended: ended });
      return ended;
    },
  };
}

/** The lease goes back last: the next holder orders as soon as it is free. */
async function endControl(control: {
  readonly controller: EngineController;
  readonly lease: ControlLease;
  readonly placer: Placer;
}): Promise<void> {
  control.placer.stop();
  await control.controller.stop();
  await control.lease.release();
}
