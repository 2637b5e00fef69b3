/** Plans which engine holds which layers and sends the layer orders. */
import {
  createLayerPlanner,
  type LayerOrder,
  type LayerPlanner,
  type LayerRange,
  type ModelShape,
  type PlannedEngine,
} from "@rosemarypin/pipelines";
import { createLogger } from "@rosemarypin/telemetry";
import { createInterruptibleTimer, pause } from "@rosemarypin/timing";
import { type BackendServer, heldOf } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import type { EngineKind, EngineShape, Service } from "../configuration.ts";
import type { ConfigurationKeeper } from "../following/mod.ts";
import type { EngineCalls } from "../protocol.ts";

/**
 * Planning interval without changes in the fleet. A lease may have been
 * acquired meanwhile, which does not wake the loop.
 */
const REPLAN_INTERVAL_MS = 1_000;
/** Delay after a change, so that changes close together share one plan. */
const BATCHING_DELAY_MS = 30;
/**
 * While no engine holds layers, planning waits for this time without a change:
 * at the start, engines appear one by one.
 */
const STARTUP_SETTLE_MS = 400;
/** Longest such wait, while engines keep appearing. */
const MAX_STARTUP_SETTLE_MS = 3_000;
/**
 * Orders in progress for each load that runs at full speed. The end of a load is
 * noticed at the next poll, and the source should be in use until then.
 */
const ORDERS_PER_PARALLEL_LOAD = 2;
const ORDER_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 300;
/** Interval at which engines with a pending order are polled. */
const ORDER_POLL_INTERVAL_MS = 250;
/** Age at which an order without effect counts as lost. */
const ORDER_LOST_AFTER_MS = 4_000;

const log = createLogger("placement");

export interface PlacementOptions {
  readonly keeper: ConfigurationKeeper;
  readonly fleet: BackendFleet;
  readonly engines: EngineCalls;
  readonly signal: AbortSignal;
  /** Fencing number for orders in a domain; `null` if none may be sent. */
  readonly fencingNumberFor: (failureDomain: string) => number | null;
  /** Registers a callback for a lease that this instance has acquired. */
  readonly onLeaseAcquired: (callback: () => void) => void;
}

/** A planned order that waits until fewer loads are in progress. */
interface QueuedOrder {
  readonly range: LayerRange;
  readonly startedAt: number;
}

interface PendingOrder {
  /** `null` if another instance sent the order. */
  readonly range: LayerRange | null;
  readonly startedAt: number;
  readonly orderedAt: number;
  /** Order count of the engine before the order. */
  readonly expectedOrderCount: number;
  /** Whether the engine has accepted the order. */
  acknowledged: boolean;
}

/** Starts the planning loop, which runs until the signal aborts. */
export function startPlacement(options: PlacementOptions): void {
  const { keeper, fleet, engines, signal } = options;
  const pending = new Map<string, PendingOrder>();
  /** In the order in which they are sent, by engine. */
  const queued = new Map<string, QueuedOrder>();
  /** When engines of a service without layers were first seen. */
  const emptySince = new Map<string, number>();
  const planners = new Map<string, LayerPlanner>();
  const changeAlarm = createInterruptibleTimer();
  let changedAt = performance.now();
  fleet.onChanged(() => {
    changedAt = performance.now();
    changeAlarm.interrupt();
  });
  options.onLeaseAcquired(changeAlarm.interrupt);
  void run();

  async function run(): Promise<void> {
    let planStartedAt = performance.now();
    while (!signal.aborted) {
      await waitForNextPlan(planStartedAt);
      planStartedAt = performance.now();
      for (const service of keeper.applied()?.services.values() ?? []) {
        if (service.engine) await placeService(service);
      }
    }
  }

  /**
   * Waits for a change in the fleet or the next planning interval. Changes
   * since the last plan began, while its orders were sent, are planned at once.
   */
  async function waitForNextPlan(planStartedAt: number): Promise<void> {
    const intervalMs =
      pending.size + queued.size > 0
        ? ORDER_POLL_INTERVAL_MS
        : REPLAN_INTERVAL_MS;
    if (changedAt <= planStartedAt) await changeAlarm.wait(intervalMs, signal);
    if (changedAt > planStartedAt) await pause(BATCHING_DELAY_MS, signal);
  }

  async function placeService(service: Service): Promise<void> {
    const { engine } = service;
    if (!engine) return;
    await pollOrders();
    const servers = fleet.ofService(service.name);
    if (isStartingUp(service.name, servers)) return;
    const usable = servers.filter(
      ({ id, leaving }) => !leaving && !fleet.detector.isDead(id),
    );
    const unsuspected = usable.filter(
      ({ id }) => !fleet.detector.isSuspected(id),
    );
    const orders = planOrders(unsuspected, { service: service.name, engine });
    // A suspected engine may recover, so engines that hold layers keep them
    // until it counts as dead. An engine without layers may load them already.
    const noneSuspected = unsuspected.length === usable.length;
    const allowedOrders = noneSuspected
      ? orders
      : orders.filter(({ engineId }) => fleet.get(engineId)?.held === null);
    for (const { engineId, range } of allowedOrders) {
      const startedAt = fleet.get(engineId)?.startedAt;
      if (startedAt !== undefined) queued.set(engineId, { range, startedAt });
    }
    const due = takeQueued(servers, engine);
    await Promise.all(due.map((order) => sendOrder(order)));
  }

  /** Whether engines without layers are still appearing one by one. */
  function isStartingUp(
    service: string,
    servers: readonly BackendServer[],
  ): boolean {
    const noneHoldsLayers = servers.every(({ held }) => held === null);
    if (servers.length === 0 || !noneHoldsLayers) {
      emptySince.delete(service);
      return false;
    }
    const now = performance.now();
    const since = emptySince.get(service) ?? now;
    emptySince.set(service, since);
    return (
      now - changedAt < STARTUP_SETTLE_MS && now - since < MAX_STARTUP_SETTLE_MS
    );
  }

  /**
   * Takes the orders that are to be sent now. Loads that run together slow each
   * other down, so the rest wait, and the first pipelines are complete sooner.
   */
  function takeQueued(
    servers: readonly BackendServer[],
    { maxParallelLoads = Infinity }: EngineShape,
  ): LayerOrder[] {
    const domains = new Set(servers.map(({ failureDomain }) => failureDomain));
    const share = Math.ceil(maxParallelLoads / Math.max(1, domains.size));
    const limit = ORDERS_PER_PARALLEL_LOAD * share;
    const inProgress = new Map<string, number>();
    const countLoad = (domain: string) =>
      inProgress.set(domain, (inProgress.get(domain) ?? 0) + 1);
    for (const id of pending.keys()) {
      const domain = fleet.get(id)?.failureDomain;
      if (domain !== undefined) countLoad(domain);
    }
    const due: LayerOrder[] = [];
    for (const { id, failureDomain } of servers) {
      const isDropped = options.fencingNumberFor(failureDomain) === null;
      if (isDropped || fleet.detector.isDead(id)) queued.delete(id);
    }
    for (const [engineId, { range, startedAt }] of queued) {
      const server = fleet.get(engineId);
      if (server?.startedAt !== startedAt || server.leaving) {
        queued.delete(engineId);
        continue;
      }
      const { failureDomain } = server;
      if ((inProgress.get(failureDomain) ?? 0) >= limit) continue;
      queued.delete(engineId);
      countLoad(failureDomain);
      due.push({ engineId, range });
    }
    return due;
  }

  function planOrders(
    servers: readonly BackendServer[],
    {
      service,
      engine,
    }: { readonly service: string; readonly engine: EngineShape },
  ): readonly LayerOrder[] {
    const plannedEngines = servers.flatMap((server) => {
      const kind = engine.kinds.get(server.kind ?? "");
      return kind ? [plannedEngine(server, { kind, model: engine.model })] : [];
    });
    const isOrderable = plannedEngines.some(
      ({ acceptsOrders, isOwn }) => acceptsOrders && isOwn,
    );
    if (!isOrderable) return [];
    const planner = planners.get(service) ?? createLayerPlanner();
    planners.set(service, planner);
    return planner(plannedEngines, engine.model);
  }

  function plannedEngine(
    server: BackendServer,
    { kind, model }: { readonly kind: EngineKind; readonly model: ModelShape },
  ): PlannedEngine {
    const order = pending.get(server.id);
    const waiting = queued.get(server.id);
    const held = heldOf(server, model);
    return {
      id: server.id,
      failureDomain: server.failureDomain,
      memoryMb: kind.memoryMb,
      stepFactor: kind.stepFactor,
      prefillFactor: kind.prefillFactor,
      held: order?.range ?? waiting?.range ?? held,
      serving: held,
      acceptsOrders:
        !order && !waiting && fleet.backoffs.remainingMs(server) === 0,
      isOwn: options.fencingNumberFor(server.failureDomain) !== null,
    };
  }

  async function sendOrder({ engineId, range }: LayerOrder): Promise<void> {
    if (fleet.get(engineId)?.orderCount === null) await refreshReport(engineId);
    const server = fleet.get(engineId);
    if (!server || server.orderCount === null || pending.has(engineId)) return;
    const fencingNumber = options.fencingNumberFor(server.failureDomain);
    if (fencingNumber === null) return;
    const order: PendingOrder = {
      range,
      startedAt: server.startedAt,
      orderedAt: performance.now(),
      expectedOrderCount: server.orderCount,
      acknowledged: false,
    };
    pending.set(engineId, order);
    const answer = await engines.place(
      server,
      { range, expectedOrderCount: server.orderCount, fencingNumber },
      ORDER_TIMEOUT_MS,
    );
    log.info("layers_ordered", {
      id: engineId,
      from: range.from,
      to: range.to,
      held_from: server.held?.from,
      held_to: server.held?.to,
      order_count: server.orderCount,
      fencing_number: fencingNumber,
      answer: answer.kind,
      detail: "detail" in answer ? answer.detail : undefined,
    });
    if (answer.kind === "unknown") fleet.reachability.check(server.service);
    order.acknowledged = answer.kind === "accepted";
    if (answer.kind === "accepted" || answer.kind === "unknown") return;
    // The order was refused, or had nothing to change. The next plan needs the
    // engine's current state.
    pending.delete(engineId);
    if (answer.kind === "replaced") return fleet.markReplaced(engineId);
    await refreshReport(engineId);
  }

  /** Polls engines with pending orders and drops the orders that ended. */
  async function pollOrders(): Promise<void> {
    await Promise.all([...pending.keys()].map((id) => pollOrder(id)));
  }

  async function pollOrder(id: string): Promise<void> {
    const order = pending.get(id);
    const server = fleet.get(id);
    if (!order || !server || server.startedAt !== order.startedAt) {
      pending.delete(id);
      return;
    }
    const report = await engines.report(server.address, REPORT_TIMEOUT_MS);
    if (!report) {
      if (isOverdue(order)) pending.delete(id);
      return;
    }
    fleet.putReport(id, report);
    const { range } = order;
    if (!range) {
      if (!report.busy) pending.delete(id);
      return;
    }
    const holdsRange =
      report.held?.from === range.from && report.held.to === range.to;
    if (holdsRange && !report.busy) {
      pending.delete(id);
      log.info("layers_held", {
        id,
        from: range.from,
        to: range.to,
        took_ms: (performance.now() - order.orderedAt).toFixed(0),
      });
      return;
    }
    // An order without an answer may still arrive seconds later. The order sent
    // in its place changes the engine's order count, so that the engine then
    // refuses the late one.
    const hasNotBegun =
      !order.acknowledged && report.orderCount === order.expectedOrderCount;
    if (!report.busy && (hasNotBegun || isOverdue(order))) {
      pending.delete(id);
      log.warn("order_lost", { id, from: range.from, to: range.to });
    }
  }

  async function refreshReport(id: string): Promise<void> {
    const server = fleet.get(id);
    if (!server) return;
    const report = await engines.report(server.address, REPORT_TIMEOUT_MS);
    if (!report) return fleet.detector.reportFailure(id, "silent");
    fleet.putReport(id, report);
    // A new order would make a loading engine drop what it has loaded so far.
    if (report.busy && !pending.has(id)) {
      pending.set(id, {
        range: null,
        startedAt: server.startedAt,
        orderedAt: performance.now(),
        expectedOrderCount: report.orderCount,
        acknowledged: true,
      });
    }
  }
}

function isOverdue({ orderedAt }: PendingOrder): boolean {
  return performance.now() - orderedAt > ORDER_LOST_AFTER_MS;
}
