/** The state wanted of each engine while a domain changes to a new plan. */
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
  /** Loads with a lower number run first. */
  readonly priority: number;
}

/** Input from which the wanted state of engines is derived. */
export interface PlacedStateOptions {
  readonly record: NoteRecord;
  readonly settings: PlacementSettings;
  readonly plan: VersionedPlan | null;
  /** State of each engine at the last read. */
  readonly states: ReadonlyMap<string, EngineState>;
  readonly memoryMegabytes: (engine: string) => number;
  /** Whether the weight store has loaded the layers to the engine. */
  readonly isLoaded: (engine: string, wanted: HeldLayers) => boolean;
}

/** The engines of a domain under one note and plan. */
export interface PlacedState {
  /** The complete state that an order to the engine contains. */
  wantedState(engine: string): WantedState;
  /** Weights to load from the weight store. */
  missing(engine: string): readonly MissingWeights[];
  /** Whether each pipeline holds the most preferred of its wanted versions. */
  isComplete(): boolean;
}

/**
 * Difference in load priority between versions of successive preference. It
 * exceeds the number of pipelines of a model, so that loads of a preferred
 * version for all pipelines come before those of the next version.
 */
const PRIORITY_RANK_STEP = 1_000;

/** Derives the wanted state of all engines from a snapshot of their states. */
export function createPlacedState(options: PlacedStateOptions): PlacedState {
  const { record, settings, states, isLoaded } = options;
  const pipelines = options.plan?.pipelines ?? [];
  const heldBy = (engine: string) => states.get(engine)?.held ?? [];
  const targets = new Map<string, readonly Target[]>();
  for (const model of new Set(pipelines.map((pipeline) => pipeline.model))) {
    addTargets(model);
  }
  const isPlanHeld = pipelines.every((pipeline) =>
    pipeline.stages.every(({ engine }) => {
      const [preferred] = targets.get(engine) ?? [];
      return !preferred || countMissing(preferred.wanted, heldBy(engine)) === 0;
    }),
  );

  function addTargets(model: string): void {
    const modelPipelines = pipelines.filter(
      (pipeline) => pipeline.model === model,
    );
    const served = servedVersions(record, model);
    const versionOptions = {
      serve: served.map(({ version }) => version),
      versionsAtOnce: options.plan?.versionsAtOnce.get(model) ?? 1,
      isCovered: (version: string) => isCovered(model, version),
      pipelines: modelPipelines.length,
      holds(index: number, version: string) {
        const pipeline = modelPipelines[index];
        if (!pipeline) return false;
        return rangesOf(pipeline, version).every(
          ({ engine, wanted }) => countMissing(wanted, heldBy(engine)) === 0,
        );
      },
    };
    modelPipelines.forEach((pipeline, index) => {
      wantedVersions(index, versionOptions).forEach((version, rank) => {
        const priority = rank * PRIORITY_RANK_STEP + index;
        for (const { engine, wanted } of rangesOf(pipeline, version)) {
          const existing = targets.get(engine) ?? [];
          targets.set(engine, [...existing, { wanted, priority }]);
        }
      });
    });
  }

  /** The layers of a version that each engine of a pipeline serves. */
  function rangesOf(pipeline: PlannedPipeline, version: string) {
    const { model, stages } = pipeline;
    const servedVersion = servedVersions(record, model).find(
      (served) => served.version === version,
    );
    const layers = servedVersion?.layers ?? 0;
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
        .filter((range) => isSameVersion(range, { model, version }))
        .map((range) => range.layers),
    );
    return coversAll(ranges, layers);
  }

  function hasWeights(engine: string, wanted: HeldLayers): boolean {
    return (
      countMissing(wanted, heldBy(engine)) === 0 || isLoaded(engine, wanted)
    );
  }

  /**
   * Whether an engine may be ordered to hold layers that it has weights for.
   * Instances send requests to a preferred version as soon as some engines hold
   * all of it. If the first pipeline with its weights exposed it, all requests
   * would go to that pipeline, so pipelines expose a new version together.
   */
  function canExpose(wanted: HeldLayers): boolean {
    const { model, version } = wanted;
    if (isCovered(model, version)) return true;
    const others = servedVersions(record, model).filter(
      (served) => served.version !== version,
    );
    if (!others.some((other) => isCovered(model, other.version))) return true;
    return [...targets].every(([engine, engineTargets]) =>
      engineTargets.every(
        (target) =>
          !isSameVersion(target.wanted, wanted) ||
          hasWeights(engine, target.wanted),
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

  function layersToHold(engine: string): readonly HeldLayers[] {
    const allowed = heldBy(engine).filter(isAllowed);
    const wanted = (targets.get(engine) ?? []).map((target) => target.wanted);
    if (wanted.length === 0) return allowed;
    const exposed = wanted.filter(
      (layers) => hasWeights(engine, layers) && canExpose(layers),
    );
    if (isPlanHeld) return exposed;
    // Layers that are not in the plan are kept until the plan is held, unless
    // the engine needs their memory for planned layers.
    const unplanned = allowed.filter(
      (held) => !wanted.some((layers) => isSameRange(layers, held)),
    );
    return fits(engine, [...unplanned, ...wanted])
      ? [...unplanned, ...exposed]
      : exposed;
  }

  return {
    isComplete: () => isPlanHeld,
    wantedState(engine) {
      const hold = [...layersToHold(engine)];
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
        // A load that does not fit waits until an order has freed memory.
        if (layers === 0 || !fits(engine, [...held, wanted])) return [];
        const placed = placedModelOf(settings, wanted.model);
        const megabytes = layers * (placed?.layerMegabytes ?? 0);
        return [{ wanted, megabytes, priority }];
      });
    },
  };
}

/** Layers of one version that an engine of the plan should hold. */
interface Target {
  readonly wanted: HeldLayers;
  readonly priority: number;
}
