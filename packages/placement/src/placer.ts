/** Keeps a plan for the engines of one failure domain while it orders them. */

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

/** How often the plan is compared with what has changed. */
const TICK_MS = 250;

export interface PlacerOptions {
  readonly failureDomain: string;
  /** The domain's engines; those with roles are left alone. */
  readonly engines: readonly EngineSettings[];
  readonly settings: PlacementSettings;
  readonly keeper: Pick<NoteKeeper, "applied" | "onChange">;
  readonly lease: Pick<ControlLease, "held">;
  readonly loader: Pick<WeightLoader, "load">;
  /** Whether calls succeed to the engines that this instance uses. */
  readonly usable?: () => ReadonlyMap<string, boolean>;
  readonly metrics?: Metrics;
}

/** Says what engines without roles are to hold. */
export interface Placer {
  /** Whether the engine's layers are decided here. */
  places(engine: string): boolean;
  /** Whether what the engine holds has to be read before it is ordered. */
  isUnread(engine: string): boolean;
  /** What to order now; `null` until the engine was read or is lost. */
  wanted(engine: string, record: NoteRecord): WantedState | null;
  /** Takes the engine's state, or `null` when it does not answer. */
  observe(
    engine: string,
    state: EngineState | null,
    options?: { readonly isOrdered: boolean },
  ): void;
  /** Called with engines to be looked at; returns how to stop. */
  onChange(listener: (engines: readonly string[]) => void): () => void;
  /** The plan in use, for tests and status; `null` while there is none. */
  plan(): VersionedPlan | null;
  stop(): void;
}

/** Starts to plan whenever the lease is held. */
export function createPlacer(options: PlacerOptions): Placer {
  const { settings, keeper, lease, metrics } = options;
  const domain = options.failureDomain;
  const engines = options.engines.filter(({ roles }) => roles.length === 0);
  const ids = engines.map(({ id }) => id);
  const placed = new Set(ids);
  const memory = new Map(
    listPlanEngines(engines, {
      accelerators: settings.accelerators,
      heldBy: () => [],
    }).map((engine) => [engine.id, engine.memoryMegabytes]),
  );
  const listeners = new Set<(engines: readonly string[]) => void>();
  const loads = createEngineLoads({
    loader: options.loader,
    onLoaded: () => (view = null),
  });
  /** What each engine was to hold when its task was last woken. */
  const told = new Map<string, string>();
  const states = new Map<string, EngineState>();
  let presence = createEnginePresence(ids);
  let plan: VersionedPlan | null = null;
  let plannedFor = "";
  let tenure: number | null = null;
  let isPlanning = false;
  let stopped = false;
  /** The view that loads and tasks were last brought in step with. */
  let followed: PlacedState | null = null;
  let view: { state: PlacedState; record: NoteRecord } | null = null;
  const timer = engines.length > 0 ? setInterval(tick, TICK_MS) : undefined;

  /**
   * A plan is made from what engines hold, so the next holder of the lease
   * comes to the same one. What this instance knew under an earlier lease is
   * of no use: another holder may have ordered since.
   */
  function follow(fencingNumber: number | null): void {
    if (fencingNumber === tenure) return;
    tenure = fencingNumber;
    removePlanMetrics({ domain, models: settings.models, metrics });
    states.clear();
    told.clear();
    loads.stop();
    presence = createEnginePresence(ids);
    plan = null;
    plannedFor = "";
    view = null;
  }

  function tick(): void {
    follow(lease.held()?.fencingNumber ?? null);
    const record = keeper.applied();
    if (tenure === null || !record) return;
    const usable = options.usable?.();
    const doubtful = ids.filter((engine) => {
      const isUsable = usable?.get(engine);
      // One that is leaving answers, and is not to be used.
      if (states.get(engine)?.leaving) return false;
      return isUsable !== undefined && isUsable !== presence.answers(engine);
    });
    if (doubtful.length > 0) tell(doubtful);
    void replan(record);
    const state = stateFor(record);
    if (state === followed) return;
    followed = state;
    followLoads(state);
    tellChanged(state);
  }

  /** Makes a new plan if its inputs have changed, while orders go on. */
  async function replan(record: NoteRecord): Promise<void> {
    if (isPlanning || (!plan && !presence.isSettled())) return;
    const live = new Set(presence.live());
    const models = listPlacedModels(record, settings);
    const key = JSON.stringify([[...live], models]);
    if (key === plannedFor) return;
    const plannedIn = tenure;
    const startedAt = performance.now();
    const usable = engines.filter(({ id }) => live.has(id));
    const { accelerators } = settings;
    isPlanning = true;
    const made = await planVersions(
      listPlanEngines(usable, { accelerators, heldBy }),
      models,
    );
    isPlanning = false;
    if (stopped || tenure !== plannedIn) return;
    plan = made;
    plannedFor = key;
    view = null;
    const tookMs = performance.now() - startedAt;
    reportPlan(made, { domain, models: settings.models, tookMs, metrics });
  }

  /**
   * What an engine was planned to hold counts as held, loaded or not: a plan
   * that is half carried out is not given up for another one.
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

  function followLoads({ missing }: PlacedState): void {
    for (const engine of ids) {
      loads.follow(engine, presence.answers(engine) ? missing(engine) : []);
    }
  }

  function stateFor(record: NoteRecord): PlacedState {
    if (view?.record === record) return view.state;
    const state = createPlacedState({
      record,
      settings,
      plan,
      states,
      memoryMegabytes: (engine) => memory.get(engine) ?? 0,
      isLoaded: loads.isLoaded,
    });
    view = { state, record };
    return state;
  }

  /** Wakes the tasks of engines that are now to hold something else. */
  function tellChanged(state: PlacedState): void {
    const changed = ids.filter((engine) => {
      const wanted = JSON.stringify(state.wanted(engine));
      const isNews = told.get(engine) !== wanted;
      told.set(engine, wanted);
      return isNews;
    });
    if (changed.length > 0) tell(changed);
  }

  function tell(changed: readonly string[]): void {
    for (const listener of listeners) listener(changed);
  }

  return {
    places: (engine) => placed.has(engine),
    wanted(engine, record) {
      follow(lease.held()?.fencingNumber ?? null);
      if (states.has(engine)) return stateFor(record).wanted(engine);
      const isLost = presence.isSettled() && !presence.live().includes(engine);
      return isLost ? stateFor(record).wanted(engine) : null;
    },
    isUnread: (engine) =>
      placed.has(engine) && !(states.has(engine) && presence.answers(engine)),
    observe(engine, state, { isOrdered } = { isOrdered: false }) {
      if (!placed.has(engine)) return;
      if (presence.answers(engine) !== (state !== null)) view = null;
      if (!state) return presence.silent(engine);
      presence.heard(engine, { leaving: state.leaving });
      const before = states.get(engine);
      const isRestarted = before && before.incarnation !== state.incarnation;
      if (isRestarted) loads.forget(engine);
      // The order named layers that the engine had before it was restarted.
      // Its memory is empty: whatever it says, it has no weights for them.
      const isEmptied = isRestarted && isOrdered;
      const held = isEmptied ? [] : state.held;
      states.set(engine, { ...state, held });
      loads.settle(engine, held);
      if (JSON.stringify(before?.held) === JSON.stringify(held)) return;
      view = null;
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
