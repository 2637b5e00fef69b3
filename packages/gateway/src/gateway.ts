/** Assembles, starts and stops one gateway instance. */
import { once, setMaxListeners } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createReturningCallers } from "@rosemarypin/admission";
import { createCallerMemories } from "@rosemarypin/connections";
import { createRetryBudget } from "@rosemarypin/limits";
import { createPeerCaller } from "@rosemarypin/membership";
import { countStoreCalls, type StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import {
  checkConnection,
  checkRefusal,
  copyRestrictions,
  createBackendExchange,
  createBackendFleet,
  createRestrictionMethods,
  createServerEntries,
} from "./backends/mod.ts";
import { createCallForwarding } from "./call_forwarding.ts";
import {
  createCallerListener,
  createRetrySchedules,
  createWarmUp,
  HANDOFF_HEADER,
} from "./callers/mod.ts";
import type { Service } from "./configuration.ts";
import {
  createConfigurationKeeper,
  createFleetShare,
  startStoreFollowing,
} from "./following/mod.ts";
import { createAnswerBuffers } from "./forwarding/mod.ts";
import { createGracefulStop } from "./graceful_stop.ts";
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
import { createServerChoice } from "./plain/mod.ts";
import type { Platform } from "./platform.ts";
import {
  createPromptQuarantine,
  createQuarantinePeers,
  createRunningPrompts,
} from "./prompts/mod.ts";
import type { GatewaySettings, ListenAddress } from "./settings.ts";
import { startStreamRouting } from "./stream_wiring.ts";
import { createStallDetector } from "./streams/mod.ts";
import {
  createUnexpectedErrors,
  type UnexpectedErrors,
} from "./unexpected_errors.ts";

/** Time in which a machine that can be reached refuses a connection. */
const REFUSAL_CHECK_MS = 100;
/** Time in which a server that runs accepts a connection. */
const CONNECTION_CHECK_MS = 200;
/** Memory for the bodies of requests in progress, if the settings name none. */
const DEFAULT_BODY_BUDGET_BYTES = 128 * 2 ** 20;
const DEFAULT_MAX_CONNECTIONS = 2_000;

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
      ...createRestrictionMethods(fleet),
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
  let hasCopiedRestrictions = false;
  void presence.started.then(async () => {
    const others = presence.liveOthers();
    await copyRestrictions({ fleet, failureDomain, others, caller });
    hasCopiedRestrictions = true;
  });
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
  const { answerBudgetBytes: maxTotalBytes } = settings;
  const answerBuffers = createAnswerBuffers(
    maxTotalBytes === undefined ? {} : { maxTotalBytes },
  );
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
  const { demandBoard, classLevels, domainLimits, router, queues } =
    await startStreamRouting({
      settings,
      keeper,
      fleet,
      presence,
      services,
      signal,
    });
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
  const { requestBudgetBytes } = settings;
  const memories = createCallerMemories({
    bodyBudgetBytes: settings.bodyBudgetBytes ?? DEFAULT_BODY_BUDGET_BYTES,
    ...(requestBudgetBytes === undefined ? {} : { requestBudgetBytes }),
  });
  const metrics = createGatewayMetrics({
    inProgress: () => listener.inProgress(),
    bodyBytes: () => memories.bodies.heldBytes(),
    bodyBudgetBytes: () => memories.bodies.limitBytes,
    requestBytes: () => memories.requests.heldBytes(),
    unparsedBytes: () => memories.unparsed.heldBytes(),
    requestsGivenUp: () =>
      Object.values(memories).reduce((sum, each) => sum + each.givenUp(), 0),
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
  const refusalParts = { codec, retrySchedules: createRetrySchedules() };
  const forwarding = {
    ...refusalParts,
    exchange,
    fleet,
    budget,
    handoff,
    refusesConnections,
    answerBuffers,
  };
  const plain = { ...forwarding, choice: serverChoice };
  const streams = {
    ...forwarding,
    router,
    queues,
    observer: metrics.admissions,
    stallDetector,
    engines,
    prompts,
    quarantine,
    canConnect: (address: string) =>
      checkConnection(address, CONNECTION_CHECK_MS),
  };
  const graceful = createGracefulStop({
    graceMs: settings.graceMs,
    listener: () => listener,
    onStopping() {
      void presence.leave();
      void placementLeases.release();
    },
    refuseWaiting: queues.stop,
    onStopped: () => abortController.abort(),
  });
  const listener = createCallerListener({
    ...refusalParts,
    keeper,
    returningCallers: createReturningCallers(),
    memories,
    maxConnections: settings.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
    forward: createCallForwarding({ budget, fleet, plain, streams }),
    warmUp: createWarmUp(
      () =>
        keeper.applied() !== null &&
        serverMirror.ageMs() < Number.POSITIVE_INFINITY &&
        quarantineMirror.ageMs() < Number.POSITIVE_INFINITY &&
        hasCopiedRestrictions,
    ),
    stoppingForMs: graceful.stoppingForMs,
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

  const readiness = createReadinessServer({
    path: platform.readyPath,
    isReady: () =>
      graceful.stoppingForMs() === null &&
      keeper.applied() !== null &&
      !isIsolated(),
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
      isDraining: () => graceful.stoppingForMs() !== null,
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

  return { stop: graceful.stop };
}

async function listen(server: Server, address: ListenAddress): Promise<void> {
  server.listen({ host: address.host, port: address.port });
  await once(server, "listening");
}
