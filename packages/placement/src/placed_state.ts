/** What a plan asks of each engine now, on the way to what it asks in the end. */
import type {
  EngineState,
  HeldLayers,
  NoteRecord,
  PlacementSettings,
} from "@rosemarypin/schemas";
import {
  countMissing,
  coversAll,
  isSameRange,
  isSameVersion,
} from "./held_layers.ts";
import { requiredMegabytes } from "./held_memory.ts";
import { placedModelOf, servedVersions } from "./placed_models.ts";
import type { PlannedPipeline } from "./plan_types.ts";
import type { VersionedPlan } from "./version_plan.ts";
import type { WantedState } from "./wanted_layers.ts";
import { wantedVersions } from "./wanted_versions.ts";

/** Weights that an engine lacks. */
export interface MissingWeights {
  readonly wanted: HeldLayers;
  readonly megabytes: number;
  /** Loads of a lower number go first. */
  readonly priority: number;
}

/** All that decides what engines are asked for. */
export interface PlacedStateOptions {
  readonly record: NoteRecord;
  readonly settings: PlacementSettings;
  readonly plan: VersionedPlan | null;
  /** Each engine as it was last read. */
  readonly states: ReadonlyMap<string, EngineState>;
  readonly memoryMegabytes: (engine: string) => number;
  /** Whether the weight store has served the layers to the engine. */
  readonly isLoaded: (engine: string, wanted: HeldLayers) => boolean;
}

/** The engines of a domain under one note and plan. */
export interface PlacedState {
  /** The whole state that an order for the engine states. */
  wanted(engine: string): WantedState;
  /** Weights to ask the weight store for. */
  missing(engine: string): readonly MissingWeights[];
  /** Whether all pipelines hold the versions that they are to prefer. */
  isComplete(): boolean;
}

/** Loads of less preferred versions go after those of all pipelines. */
const PIPELINES_AT_MOST = 1_000;

/** Creates the view of one moment. */
export function createPlacedState(options: PlacedStateOptions): PlacedState {
  const { record, settings, states, isLoaded } = options;
  const pipelines = options.plan?.pipelines ?? [];
  const heldBy = (engine: string) => states.get(engine)?.held ?? [];
  const targets = new Map<string, readonly Target[]>();
  for (const model of new Set(pipelines.map((one) => one.model))) {
    addTargets(model);
  }
  const isAllHeld = pipelines.every((pipeline) =>
    pipeline.stages.every(({ engine }) => {
      const [preferred] = targets.get(engine) ?? [];
      return !preferred || countMissing(preferred.wanted, heldBy(engine)) === 0;
    }),
  );

  function addTargets(model: string): void {
    const own = pipelines.filter((pipeline) => pipeline.model === model);
    const served = servedVersions(record, model);
    const facts = {
      serve: served.map(({ version }) => version),
      versionsAtOnce: options.plan?.versionsAtOnce.get(model) ?? 1,
      isCovered: (version: string) => isCovered(model, version),
      pipelines: own.length,
      holds(index: number, version: string) {
        const pipeline = own[index];
        if (!pipeline) return false;
        return rangesOf(pipeline, version).every(
          ({ engine, wanted }) => countMissing(wanted, heldBy(engine)) === 0,
        );
      },
    };
    own.forEach((pipeline, index) => {
      wantedVersions(index, facts).forEach((version, rank) => {
        const priority = rank * PIPELINES_AT_MOST + index;
        for (const { engine, wanted } of rangesOf(pipeline, version)) {
          const known = targets.get(engine) ?? [];
          targets.set(engine, [...known, { wanted, priority }]);
        }
      });
    });
  }

  /** The layers of a version on each engine of a pipeline. */
  function rangesOf(pipeline: PlannedPipeline, version: string) {
    const { model, stages } = pipeline;
    const found = servedVersions(record, model).find(
      (served) => served.version === version,
    );
    const layers = found?.layers ?? 0;
    return stages
      .filter(({ from }) => from < layers)
      .map(({ engine, from, to }) => {
        const range = { from, to: Math.min(to, layers) };
        const wanted: HeldLayers = { model, version, layers: range };
        return { engine, wanted };
      });
  }

  function isCovered(model: string, version: string): boolean {
    const layers = record.catalogue.models[model]?.versions[version]?.layers;
    if (layers === undefined) return false;
    const ranges = [...states.values()].flatMap(({ held }) =>
      held
        .filter((one) => isSameVersion(one, { model, version }))
        .map((one) => one.layers),
    );
    return coversAll(ranges, layers);
  }

  function has(engine: string, wanted: HeldLayers): boolean {
    return (
      countMissing(wanted, heldBy(engine)) === 0 || isLoaded(engine, wanted)
    );
  }

  /**
   * Instances send requests to a preferred version as soon as some engines
   * hold all of it. Shown by the first pipeline that has it, it would draw the
   * work of all pipelines there; so the others wait for the last one.
   */
  function mayShow(wanted: HeldLayers): boolean {
    const { model, version } = wanted;
    if (isCovered(model, version)) return true;
    const others = servedVersions(record, model).filter(
      (served) => served.version !== version,
    );
    if (!others.some((other) => isCovered(model, other.version))) return true;
    return [...targets].every(([engine, list]) =>
      list.every(
        (target) =>
          !isSameVersion(target.wanted, wanted) || has(engine, target.wanted),
      ),
    );
  }

  function isAllowed({ model, version }: HeldLayers): boolean {
    return record.catalogue.models[model]?.versions[version] !== undefined;
  }

  function fits(engine: string, held: readonly HeldLayers[]): boolean {
    const adaptersOf = (model: string) =>
      record.catalogue.models[model]?.adapters.length ?? 0;
    const megabytes = requiredMegabytes(held, { settings, adaptersOf });
    return megabytes <= options.memoryMegabytes(engine);
  }

  function holdNow(engine: string): readonly HeldLayers[] {
    const allowed = heldBy(engine).filter(isAllowed);
    const wanted = (targets.get(engine) ?? []).map((target) => target.wanted);
    if (wanted.length === 0) return allowed;
    const shown = wanted.filter((one) => has(engine, one) && mayShow(one));
    if (isAllHeld) return shown;
    // What is not planned any more goes on to answer until the plan is held,
    // unless the engine needs its memory for what is planned.
    const old = allowed.filter(
      (held) => !wanted.some((one) => isSameRange(one, held)),
    );
    return fits(engine, [...old, ...wanted]) ? [...old, ...shown] : shown;
  }

  return {
    isComplete: () => isAllHeld,
    wanted(engine) {
      const hold = [...holdNow(engine)];
      const models = [...new Set(hold.map(({ model }) => model))];
      const adapters = models.flatMap((model) =>
        (record.catalogue.models[model]?.adapters ?? []).map((adapter) => ({
          model,
          adapter,
        })),
      );
      return { noteNumber: record.number, hold, adapters };
    },
    missing(engine) {
      const held = heldBy(engine);
      return (targets.get(engine) ?? []).flatMap(({ wanted, priority }) => {
        const layers = countMissing(wanted, held);
        // What has to go first is dropped by an order; the load waits for it.
        if (layers === 0 || !fits(engine, [...held, wanted])) return [];
        const placed = placedModelOf(settings, wanted.model);
        const megabytes = layers * (placed?.layerMegabytes ?? 0);
        return [{ wanted, megabytes, priority }];
      });
    },
  };
}

/** Layers that an engine is to hold in the end. */
interface Target {
  readonly wanted: HeldLayers;
  readonly priority: number;
}
