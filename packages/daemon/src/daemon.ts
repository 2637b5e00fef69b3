/** Wires the packages into one daemon. */
import { createEngineClient, createEngineFleet } from "@rosemarypin/backends";
import { createLinkSpeeds, createRecoveryLimiter } from "@rosemarypin/calls";
import {
  createLimitCoordinator,
  createLimitsOf,
  createSharedLimits,
} from "@rosemarypin/limits";
import {
  createMembership,
  createPeerCaller,
  startPeerServer,
} from "@rosemarypin/membership";
import { createObjectStore } from "@rosemarypin/platform";
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
import {
  createGuardedObjectStore,
  LONG_WATCH_TIMEOUTS,
  readPeerHints,
} from "@rosemarypin/store";
import { createLogger, createMetrics } from "@rosemarypin/telemetry";
import { startAdminServer } from "./admin_server.ts";
import { startCallerServer } from "./caller_server.ts";
import { createEngineControl } from "./engine_control.ts";
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
import { hasHeardEachRole, highestNoteOf } from "./known_state.ts";
import {
  createLimitCoordinators,
  limitCoordinatorMethods,
} from "./limit_coordinators.ts";
import { createNoteInspector } from "./note_inspector.ts";
import { createPlainServices } from "./plain_services.ts";
import { createRequestFinder, requestFinderMethods } from "./request_finder.ts";
import { createRequestMemory } from "./request_memory.ts";
import { viewBackends, viewInstances } from "./status_view.ts";
import { createSubsetChoice } from "./subset_choice.ts";
import { createWorkInProgress } from "./work_in_progress.ts";

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
  const storeAddress = new URL(settings.platform.objectApi).host;
  const store = createGuardedObjectStore({
    client: createObjectStore(storeAddress, LONG_WATCH_TIMEOUTS),
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
    highestReportedNumber: () => highestNoteOf(fleet),
    metrics,
  });
  const engines = createEngineClient();
  const noticeEngine = createEngineNotices({ membership, peers });
  const fleet = createEngineFleet({
    engines: settings.engines,
    client: engines,
    subset: createSubsetChoice({ engines: settings.engines, membership }),
    onChanged(engine) {
      control.recheck([engine]);
      noticeEngine(engine);
    },
  });
  const control = createEngineControl({
    settings,
    incarnation,
    store,
    keeper,
    membership,
    fleet,
    client: engines,
    metrics,
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
  const services = createPlainServices({
    settings,
    incarnation,
    store,
    keeper,
    membership,
    peers,
    metrics,
  });
  const requests = createRequestMemory({ instance: id });
  const limitsOf = createLimitsOf(settings.organisations);
  const limitCoordinator = createLimitCoordinator({ limitsOf });
  const limits = createSharedLimits({
    limitsOf,
    coordinators: createLimitCoordinators({
      id,
      membership,
      peers,
      coordinator: limitCoordinator,
    }),
  });
  const levels = createInstanceLevels(settings);
  countNotes(keeper, { levels, objectives: settings.objectives });
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
    engines: control.confirmations,
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
      control.recheck(changed);
    },
    ...services.peerMethods,
    ...requestFinderMethods(requests),
    ...limitCoordinatorMethods(limitCoordinator),
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
      linkSpeeds: createLinkSpeeds(),
      metrics,
    },
    callService: services.call,
    metrics,
    levels,
    work,
    requests,
    limits,
    isDraining: () => draining,
  });
  log.info("started", { instance: id, domain: failureDomain });

  return {
    async stop() {
      draining = true;
      membership.share({ draining });
      await new Promise((resolve) =>
        setTimeout(resolve, settings.balancerLagMs),
      );
      await waitForQuiet(callerServer.server, {
        quietMs: QUIET_MS,
        withinMs: QUIET_WITHIN_MS,
      });
      const stopAccepting = closeGracefully(callerServer);
      const cutAt = performance.now() + settings.shutdownGraceMs;
      const answered = await work.waitForEnd(settings.shutdownGraceMs);
      await services.finishRecording(cutAt - performance.now());
      // The goodbye is evidence that this instance answers nothing any more,
      // so it comes after the last connection.
      const rested = await closeRest(callerServer, {
        closed: stopAccepting,
        work,
        withinMs: cutAt - performance.now(),
      });
      // Calls that were sent ahead may have run since.
      const recorded = await services.finishRecording(
        cutAt - performance.now(),
      );
      const ended = answered && recorded && rested;
      await control.stop();
      router.stop();
      keeper.stop();
      fleet.stop();
      await registration.leave();
      services.stop();
      limits.stop();
      await membership.leave();
      for (const server of [peerServer, adminServer]) {
        await closeNow(server);
      }
      log.info("stopped", { instance: id, all_work_ended: ended });
      return ended;
    },
  };
}
