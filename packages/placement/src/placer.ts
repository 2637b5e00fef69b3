/** Plans the layers of a failure domain's engines while the lease is held. */

import type { NoteKeeper } from "@rosemarypin/release";
import type {
  EngineSettings,
  EngineState,
  HeldLayers,
  NoteRecord,
  PlacementSettings,
} from "@rosemarypin/schemas";
import type { WeightLoader } from "@rosemarypin/store";
import type { Metrics } from "@rosemarypin/telemetry";
import type { ControlLease } from "./control_lease.ts";
import { createEngineLoads } from "./engine_loads.ts";
import { createEnginePresence } from "./engine_presence.ts";
import { listPlacedModels, listPlanEngines } from "./placed_models.ts";
import { createPlacedState, type PlacedState } from "./placed_state.ts";
import { removePlanMetrics, reportPlan } from "./plan_report.ts";
import { planVersions, type VersionedPlan } from "./version_plan.ts";
import type { WantedState } from "./wanted_layers.ts";

/** Interval at which the plan's inputs are checked for changes. */
const TICK_MS = 250;

export interface PlacerOptions {
  readonly failureDomain: string;
  /** The domain's engines; those with roles are ignored. */
  readonly engines: readonly EngineSettings[];
  readonly settings: PlacementSettings;
  readonly keeper: Pick<NoteKeeper, "applied" | "onChange">;
  readonly lease: Pick<ControlLease, "held">;
  readonly loader: Pick<WeightLoader, "load">;
  /** Whether calls succeed, for each engine that this instance uses. */
  readonly usable?: () => ReadonlyMap<string, boolean>;
  readonly metrics?: Metrics;
}

/** Decides the layers of engines without roles. */
export interface Placer {
  /** Whether the placer decides the engine's layers. */
  isPlaced(engine: string): boolean;
  /** Whether the engine's state must be read before it is ordered. */
  needsRead(engine: string): boolean;
  /** The state to order now; `null` until the engine is read or lost. */
  wantedState(engine: string, record: NoteRecord): WantedState | null;
  /**
   * Records the engine's state, or `null` when it does not answer.
   * `isOrderReply` marks a state that an engine reports in reply to an order.
   */
  observe(
    engine: string,
    state: EngineState | null,
    options?: { readonly isOrderReply: boolean },
  ): void;
  /** Subscribes to engines that must be checked; returns the unsubscribe. */
  onChange(listener: (engines: readonly string[]) => void): () => void;
  /** The plan in use, for tests and status; `null` while there is none. */
  plan(): VersionedPlan | null;
  stop(): void;
}

/** Starts planning, which takes place while the lease is held. */
export function createPlacer(options: PlacerOptions): Placer {
  const { settings, keeper, lease, metrics } = options;
  const domain = options.failureDomain;
  const engines = options.engines.filter(({ roles }) => roles.length === 0);
  const engineIds = engines.map(({ id }) => id);
  const placedEngines = new Set(engineIds);
  const memoryByEngine = new Map(
    listPlanEngines(engines, {
      accelerators: settings.accelerators,
      heldBy: () => [],
    }).map((engine) => [engine.id, engine.memoryMegabytes]),
  );
  const listeners = new Set<(engines: readonly string[]) => void>();
  const loads = createEngineLoads({
    loader: options.loader,
    onLoaded: () => (cachedState = null),
  });
  /** Wanted state of each engine, as JSON, at its last notification. */
  const lastNotified = new Map<string, string>();
  const states = new Map<string, EngineState>();
  let presence = createEnginePresence(engineIds);
  let plan: VersionedPlan | null = null;
  let planKey = "";
  let leaseNumber: number | null = null;
  let isPlanning = false;
  let stopped = false;
  /** The wanted state last passed on to loads and listeners. */
  let appliedState: PlacedState | null = null;
  let cachedState: { state: PlacedState; record: NoteRecord } | null = null;
  const timer = engines.length > 0 ? setInterval(tick, TICK_MS) : undefined;

  /**
   * Discards all state when the lease is acquired, lost or acquired under a
   * new number, as another holder may have ordered meanwhile. A plan is made
   * from the layers that engines hold, so each holder arrives at the same plan.
   */
  function resetOnLeaseChange(fencingNumber: number | null): void {
    if (fencingNumber === leaseNumber) return;
    leaseNumber = fencingNumber;
    removePlanMetrics({ domain, models: settings.models, metrics });
    states.clear();
    lastNotified.clear();
    loads.stop();
    presence = createEnginePresence(engineIds);
    plan = null;
    planKey = "";
    cachedState = null;
  }

  function tick(): void {
    resetOnLeaseChange(lease.held()?.fencingNumber ?? null);
    const record = keeper.applied();
    if (leaseNumber === null || !record) return;
    const reachable = options.usable?.();
    const mismatched = engineIds.filter((engine) => {
      const isReachable = reachable?.get(engine);
      // A leaving engine answers, but is never usable.
      if (states.get(engine)?.leaving) return false;
      return (
        isReachable !== undefined && isReachable !== presence.answers(engine)
      );
    });
    if (mismatched.length > 0) notify(mismatched);
    void replan(record);
    const state = stateFor(record);
    if (state === appliedState) return;
    appliedState = state;
    updateLoads(state);
    notifyChanged(state);
  }

  /** Makes a new plan if its inputs changed; orders continue meanwhile. */
  async function replan(record: NoteRecord): Promise<void> {
    if (isPlanning || (!plan && !presence.isDecided())) return;
    const live = new Set(presence.live());
    const models = listPlacedModels(record, settings);
    const key = JSON.stringify([[...live], models]);
    if (key === planKey) return;
    const leaseAtStart = leaseNumber;
    const startedAt = performance.now();
    const liveEngines = engines.filter(({ id }) => live.has(id));
    const { accelerators } = settings;
    isPlanning = true;
    const newPlan = await planVersions(
      listPlanEngines(liveEngines, { accelerators, heldBy }),
      models,
    );
    isPlanning = false;
    if (stopped || leaseNumber !== leaseAtStart) return;
    plan = newPlan;
    planKey = key;
    cachedState = null;
    const tookMs = performance.now() - startedAt;
    reportPlan(newPlan, { domain, models: settings.models, tookMs, metrics });
  }

  /**
   * Layers that count as held in the next plan. Planned layers count whether
   * loaded or not, so that a plan in progress is not replaced by another.
   */
  function heldBy(engine: string): readonly HeldLayers[] {
    const planned = (plan?.pipelines ?? []).flatMap(({ model, stages }) =>
      stages
        .filter((stage) => stage.engine === engine)
        .map(({ from, to }) => ({
          model,
          version: "",
          layers: { from, to },
        })),
    );
    return planned.length > 0 ? planned : (states.get(engine)?.held ?? []);
  }

  function updateLoads({ missing }: PlacedState): void {
    for (const engine of engineIds) {
      loads.update(engine, presence.answers(engine) ? missing(engine) : []);
    }
  }

  function stateFor(record: NoteRecord): PlacedState {
    if (cachedState?.record === record) return cachedState.state;
    const state = createPlacedState({
      record,
      settings,
      plan,
      states,
      memoryMegabytes: (engine) => memoryByEngine.get(engine) ?? 0,
      isLoaded: loads.isLoaded,
    });
    cachedState = { state, record };
    return state;
  }

  /** Notifies listeners of engines whose wanted state has changed. */
  function notifyChanged(state: PlacedState): void {
    const changed = engineIds.filter((engine) => {
      const wanted = JSON.stringify(state.wantedState(engine));
      const hasChanged = lastNotified.get(engine) !== wanted;
      lastNotified.set(engine, wanted);
      return hasChanged;
    });
    if (changed.length > 0) notify(changed);
  }

  function notify(changed: readonly string[]): void {
    for (const listener of listeners) listener(changed);
  }

  return {
    isPlaced: (engine) => placedEngines.has(engine),
    wantedState(engine, record) {
      resetOnLeaseChange(lease.held()?.fencingNumber ?? null);
      if (states.has(engine)) return stateFor(record).wantedState(engine);
      const isLost = presence.isDecided() && !presence.live().includes(engine);
      return isLost ? stateFor(record).wantedState(engine) : null;
    },
    needsRead: (engine) =>
      placedEngines.has(engine) &&
      !(states.has(engine) && presence.answers(engine)),
    observe(engine, state, { isOrderReply } = { isOrderReply: false }) {
      if (!placedEngines.has(engine)) return;
      if (presence.answers(engine) !== (state !== null)) cachedState = null;
      if (!state) return presence.silent(engine);
      presence.heard(engine, { leaving: state.leaving });
      const previous = states.get(engine);
      const isRestarted =
        previous && previous.incarnation !== state.incarnation;
      if (isRestarted) loads.clear(engine);
      // The order listed layers that the engine held before it restarted. The
      // engine repeats them in its reply, but its memory has no weights.
      const isEmptied = isRestarted && isOrderReply;
      const held = isEmptied ? [] : state.held;
      states.set(engine, { ...state, held });
      loads.dropHeld(engine, held);
      if (JSON.stringify(previous?.held) === JSON.stringify(held)) return;
      cachedState = null;
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    plan: () => plan,
    stop() {
      stopped = true;
      clearInterval(timer);
      loads.stop();
    },
  };
}
