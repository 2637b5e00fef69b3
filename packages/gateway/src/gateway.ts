/** Assembles, starts and stops one gateway instance. */
import { once, setMaxListeners } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createReturningCallers } from "@rosemarypin/admission";
import { createRetryBudget } from "@rosemarypin/limits";
import { createPeerCaller, createUdpTransport } from "@rosemarypin/membership";
import { countStoreCalls, type StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import {
  checkConnection,
  checkRefusal,
  createBackendExchange,
  createBackendFleet,
  createServerEntries,
} from "./backends/mod.ts";
import {
  ACCEPT_AFTER_STOP_MS,
  type CallEnd,
  type CallerCall,
  createBodyBudget,
  createCallerListener,
  createRetrySchedules,
  createWarmUp,
  endWithRefusal,
  HANDOFF_HEADER,
} from "./callers/mod.ts";
import type { Service } from "./configuration.ts";
import {
  createConfigurationKeeper,
  createFleetShare,
  startStoreFollowing,
} from "./following/mod.ts";
import { createAnswerBuffers } from "./forwarding/mod.ts";
import {
  createHelperInstances,
  createRequestHandoff,
  PING_METHOD,
} from "./handoff/mod.ts";
import {
  createAdministration,
  createGatewayMetrics,
  createInputCounts,
  createOperatorsServer,
  createReadinessServer,
  createReleaseHistory,
} from "./operators/mod.ts";
import {
  createPlacementLeases,
  type EngineReach,
  HOLDS_LEASE_METHOD,
  startPlacement,
} from "./placement/mod.ts";
import { createServerChoice, forwardPlain } from "./plain/mod.ts";
import type { Platform } from "./platform.ts";
import {
  createPromptQuarantine,
  createQuarantinePeers,
  createRunningPrompts,
} from "./prompts/mod.ts";
import type { GatewaySettings, ListenAddress } from "./settings.ts";
import {
  chooseUsageDestinations,
  createAdmissionQueues,
  createDemandBoard,
  createDomainLoadLimits,
  createEngineUsage,
  createModelClassLevels,
  createPipelineRouter,
  createStallDetector,
  forwardStream,
  startUsageExchange,
} from "./streams/mod.ts";
import {
  createUnexpectedErrors,
  type UnexpectedErrors,
} from "./unexpected_errors.ts";

/** Time reserved at the end of the grace period, to exit before being killed. */
const SHUTDOWN_MARGIN_MS = 400;
const SHUTDOWN_POLL_MS = 50;
/** Time before the end of the grace period in which refusals are written. */
const REFUSAL_MARGIN_MS = 200;
/** Time in which a machine that can be reached refuses a connection. */
const REFUSAL_CHECK_MS = 100;
/** Time in which a server that runs accepts a connection. */
const CONNECTION_CHECK_MS = 200;
/** Extra time for open connections on which a request may be in transit. */
const CONNECTION_DRAIN_MS = 300;

/** Memory for the bodies of requests in progress, if the settings name none. */
const DEFAULT_BODY_BUDGET_BYTES = 128 * 2 ** 20;

const log = createLogger("gateway");

export interface Gateway {
  /** Stops gracefully: requests in progress may use the grace period. */
  stop(): Promise<void>;
}

export interface StartOptions {
  /** A start that doesn't listen for callers yet is given up when it aborts. */
  readonly stopSignal?: AbortSignal;
  readonly unexpectedErrors?: UnexpectedErrors;
}

/**
 * Starts an instance; resolves once it listens on all addresses. Rejects if the
 * start is given up.
 */
export async function startGateway(
  settings: GatewaySettings,
  platform: Platform,
  {
    stopSignal,
    unexpectedErrors = createUnexpectedErrors(),
  }: StartOptions = {},
): Promise<Gateway> {
  const { instance, failureDomain } = settings;
  const { keys, codec, engines } = platform;
  const { store, counts: storeCalls } = countStoreCalls(platform.store);
  const abortController = new AbortController();
  const { signal } = abortController;
  // Each pending wait adds a listener, among others one per suspected server,
  // so their number may exceed the default limit.
  setMaxListeners(0, signal);
  let stoppedAt: number | null = null;
  let isListening = false;

  const keeper = createConfigurationKeeper();
  const history = createReleaseHistory(instance);
  keeper.onChanged(history.record);
  const fleet = createBackendFleet({
    engines,
    canConnect: checkConnection,
    failureDomain,
    countInstances: (domain) => presence.countPossiblyLive(domain),
    signal,
  });
  const unusableInputs = createInputCounts();
  const entries = createServerEntries({
    fleet,
    decode: platform.decodeServer,
    onUnusable: () => unusableInputs.count("server_entry"),
  });
  const caller = createPeerCaller(
    settings.peers?.host ?? settings.callers.host,
  );
  const quarantine = createPromptQuarantine({
    store,
    peers: createQuarantinePeers({
      instance,
      liveOthers: () => presence.liveOthers(),
      caller,
      signal,
    }),
    signal,
  });
  const { presence, mirrors, countFollowers } = await startStoreFollowing({
    store,
    instance,
    failureDomain,
    ...(settings.ability === undefined ? {} : { ability: settings.ability }),
    peers: settings.peers,
    peerMethods: {
      [PING_METHOD]: () => true,
      ...quarantine.methods,
      [HOLDS_LEASE_METHOD]: (params) =>
        isListening &&
        placementLeases.peerMethods[HOLDS_LEASE_METHOD]?.(params),
    },
    peerRequests: { header: HANDOFF_HEADER, handle: receiveHandedOff },
    prefixes: [
      { prefix: keys.configurations, onObject: applyConfiguration },
      {
        prefix: keys.servers,
        onObject: applyServer,
        onRemoved: (key) => entries.remove(key.slice(keys.servers.length)),
      },
      quarantine.prefix,
    ],
    signal,
  });
  const [configurationMirror, serverMirror, quarantineMirror] = mirrors;
  if (!configurationMirror || !serverMirror || !quarantineMirror)
    throw new Error("no mirror for a store prefix");
  const placementLeases = createPlacementLeases({
    store,
    instance,
    failureDomain,
    presence,
    engineReach,
    storeOutageMs: () =>
      Math.min(
        configurationMirror.unavailableMs(),
        serverMirror.unavailableMs(),
      ),
    callPeer: caller.call,
  });
  fleet.reachability.onChanged(() => {
    presence.setReachesEngines(engineReach() !== "cut_off");
    const isAnyCutOff = () => fleet.reachability.cutOffServices().length > 0;
    if (!isAnyCutOff()) return;
    helpers.watchIsolation(isAnyCutOff);
    // Links to the servers of other services are often lost together.
    for (const { name } of services()) fleet.reachability.check(name);
  });
  const budget = createRetryBudget(
    settings.retryBudget,
    createFleetShare({
      windowMs: settings.retryBudget.windowMs,
      view: presence.fleetView,
    }),
  );
  const exchange = createBackendExchange();
  const answerBuffers = createAnswerBuffers();
  const helpers = createHelperInstances({
    failureDomain,
    liveOthers: presence.liveOthers,
    caller,
    signal,
  });
  const handoff = createRequestHandoff({
    instance,
    helpers,
    exchange,
    codec,
    reachability: fleet.reachability,
  });
  const serverChoice = createServerChoice({ fleet, failureDomain });
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
  if (settings.peers) {
    startUsageExchange({
      transport: await createUdpTransport(settings.peers),
      instance,
      address: settings.peers,
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
  const stallDetector = createStallDetector({ fleet, engines });
  const refusesConnections = (address: string) =>
    checkRefusal(address, REFUSAL_CHECK_MS);
  const prompts = createRunningPrompts({
    refusesConnections,
    isCutOff(service) {
      fleet.reachability.check(service);
      return fleet.reachability.settled(service);
    },
    onSound: quarantine.recordAnswer,
    onEngineEnd(end) {
      metrics.countEngineEnd();
      quarantine.recordEnd(end);
    },
  });
  quarantine.onQuarantined(prompts.stopRuns);
  startPlacement({
    keeper,
    fleet,
    engines,
    signal,
    fencingNumberFor: (domain) => placementLeases.fencingNumberFor(domain),
    onLeaseAcquired: placementLeases.onAcquired,
  });
  const metrics = createGatewayMetrics({
    inProgress: () => listener.inProgress(),
    bodyBytes: () => bodyBudget.heldBytes(),
    bodyBudgetBytes: () => bodyBudget.limitBytes,
    waitingRequests: queues.waitingRequests,
    configurationVersion: () => keeper.applied()?.version ?? 0,
    configurationAgeSeconds: () => configurationMirror.ageMs() / 1_000,
    serverListAgeSeconds: () => serverMirror.ageMs() / 1_000,
    cutOffServices: fleet.reachability.cutOffServices,
    quarantinedPromptParts: () => quarantine.parts().length,
    classLevels: classLevels.levels,
    domains: domainLimits.readings,
    storeCalls,
    unusableInputs: unusableInputs.totals,
    unexpectedErrors: unexpectedErrors.total,
    relayFollowers: countFollowers,
    retries: budget.totals,
    servers: () =>
      new Map(services().map(({ name }) => [name, fleet.countServers(name)])),
  });
  const bodyBudget = createBodyBudget(
    settings.bodyBudgetBytes ?? DEFAULT_BODY_BUDGET_BYTES,
  );
  const refusalParts = { codec, retrySchedules: createRetrySchedules() };
  const listener = createCallerListener({
    ...refusalParts,
    keeper,
    returningCallers: createReturningCallers(),
    bodyBudget,
    forward,
    warmUp: createWarmUp(
      () =>
        keeper.applied() !== null &&
        serverMirror.ageMs() < Number.POSITIVE_INFINITY &&
        quarantineMirror.ageMs() < Number.POSITIVE_INFINITY,
    ),
    stoppingForMs: () =>
      stoppedAt === null ? null : performance.now() - stoppedAt,
    hasOtherInstances: () => presence.liveOthers().length > 0,
    isIsolated,
    unexpectedErrors,
    onEnded: metrics.countEnd,
    onRefused: metrics.countRefusal,
    onClosed: metrics.countClose,
  });

  function applyConfiguration({ key, value }: StoredObject): void {
    if (key !== keys.configuration) return;
    const configuration = platform.decodeConfiguration(value);
    if (configuration) keeper.offer(configuration);
    else unusableInputs.count("configuration");
  }

  function services(): readonly Service[] {
    return [...(keeper.applied()?.services.values() ?? [])];
  }

  /** Whether no request can be served, neither from here nor through others. */
  function isIsolated(): boolean {
    const { isCutOff } = fleet.reachability;
    return (
      helpers.isIsolated() && services().every(({ name }) => isCutOff(name))
    );
  }

  function engineReach(): EngineReach {
    const { isCutOff, mayBeCutOff } = fleet.reachability;
    const names = services()
      .filter(({ engine }) => engine)
      .map(({ name }) => name);
    if (names.length === 0 || !names.every(mayBeCutOff)) return "reached";
    return names.every(isCutOff) ? "cut_off" : "checking";
  }

  function applyServer({ key, value }: StoredObject): void {
    entries.apply(key.slice(keys.servers.length), value);
  }

  /** Handles a request that another instance can't forward to servers. */
  function receiveHandedOff(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (isListening) listener.handleHandedOff(request, response);
    else response.writeHead(503).end();
  }

  /** Why a request that was handed off can't be sent; `null` if it can. */
  async function reasonToDecline({
    service,
    handedOff,
  }: CallerCall): Promise<string | null> {
    if (await fleet.reachability.settled(service.name)) return "cut_off";
    if (!handedOff?.takesRetry) return null;
    const retry = budget.takeRetry(service.name);
    retry?.send();
    return retry ? null : "no_retry_left";
  }

  async function forward(call: CallerCall): Promise<CallEnd> {
    const { name: service } = call.service;
    const reason = call.handedOff && (await reasonToDecline(call));
    if (reason) {
      const outcome = "not_run";
      return endWithRefusal(refusalParts, call, {
        outcome,
        reason,
        attempts: 0,
      });
    }
    // The instance that handed it off has counted the request.
    if (!call.handedOff) budget.countRequest(service);
    const dependencies = {
      ...refusalParts,
      exchange,
      fleet,
      budget,
      handoff,
      refusesConnections,
      answerBuffers,
    };
    if (call.service.engine) {
      return forwardStream(call, {
        ...dependencies,
        router,
        queues,
        observer: metrics.admissions,
        stallDetector,
        engines,
        prompts,
        quarantine,
        canConnect: (address) => checkConnection(address, CONNECTION_CHECK_MS),
      });
    }
    return forwardPlain(call, { ...dependencies, choice: serverChoice });
  }

  const readiness = createReadinessServer({
    path: platform.readyPath,
    isReady: () =>
      stoppedAt === null && keeper.applied() !== null && !isIsolated(),
  });
  await listen(readiness, settings.readiness);
  // Signals to the process are delivered between turns of the event loop.
  await nextTurn();
  if (stopSignal?.aborted) {
    readiness.close();
    await presence.leave();
    abortController.abort();
    throw new Error("stopped before the start was complete");
  }
  await listen(listener.server, settings.callers);
  isListening = true;
  if (settings.metrics) {
    const administration = createAdministration({
      instance,
      failureDomain,
      keeper,
      history,
      fleet,
      presence,
      demandBoard,
      classLevels,
      quarantine,
      inProgress: () => listener.inProgress(),
      isDraining: () => stoppedAt !== null,
    });
    await listen(
      createOperatorsServer(metrics.registry, {
        administration,
        unexpectedErrors,
      }),
      settings.metrics,
    );
  }
  log.info("started", {
    instance,
    domain: failureDomain,
    callers: `${settings.callers.host}:${settings.callers.port}`,
    memory_mb: (process.memoryUsage().rss / 1e6).toFixed(0),
  });

  async function stop(): Promise<void> {
    if (stoppedAt !== null) return;
    const startedAt = performance.now();
    stoppedAt = startedAt;
    const elapsedMs = () => performance.now() - startedAt;
    log.info("stopping", { in_progress: listener.inProgress() });
    void presence.leave();
    void placementLeases.release();
    const drainLimitMs = settings.graceMs - SHUTDOWN_MARGIN_MS;
    const refusalTimer = setTimeout(
      queues.stop,
      Math.max(0, drainLimitMs - REFUSAL_MARGIN_MS),
    );
    const isIdle = () => listener.inProgress() === 0;
    // Idle connections stay open meanwhile, and the next response on each asks
    // the caller to close it. Closing one here could drop a request in transit.
    while (elapsedMs() < drainLimitMs) {
      if (isIdle() && elapsedMs() > ACCEPT_AFTER_STOP_MS) break;
      await pause(SHUTDOWN_POLL_MS);
    }
    listener.closeIdle();
    listener.server.close();
    const connectionLimitMs = Math.min(
      elapsedMs() + CONNECTION_DRAIN_MS,
      drainLimitMs,
    );
    while (elapsedMs() < connectionLimitMs && (await countConnections()) > 0) {
      // A connection counts as idle while the end of its answer is written.
      if (isIdle()) listener.closeIdle();
      await pause(SHUTDOWN_POLL_MS);
    }
    while (elapsedMs() < drainLimitMs && !isIdle())
      await pause(SHUTDOWN_POLL_MS);
    clearTimeout(refusalTimer);
    const cut = listener.inProgress();
    const requests = listener.unanswered().join(",");
    // No request may be accepted while the last log lines are written.
    listener.closeAll();
    abortController.abort();
    log.info("stopped", {
      cut,
      requests: requests || undefined,
      after_ms: elapsedMs().toFixed(0),
    });
  }

  function countConnections(): Promise<number> {
    return new Promise((resolve) => {
      listener.server.getConnections((error, count) => {
        resolve(error ? 0 : count);
      });
    });
  }

  return { stop };
}

async function listen(server: Server, address: ListenAddress): Promise<void> {
  server.listen({ host: address.host, port: address.port });
  await once(server, "listening");
}
