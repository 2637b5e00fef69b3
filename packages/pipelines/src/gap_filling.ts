/** Assigns layers that no engine of a group holds. */
import { maxLayersWithCapacity } from "./engine_capacity.ts";
import { extendRange, layersOf } from "./layer_coverage.ts";
import {
  compareSpeed,
  type Neighbour,
  type PlanDraft,
  type PlannedEngine,
} from "./plan_draft.ts";
import { type LayerRange, layersIn } from "./types.ts";

/** A gap is split between engines if more than this many are idle. */
const SPLIT_ABOVE_IDLE_ENGINES = 2;

/**
 * Assigns layers of a gap to engines and returns whether any were assigned.
 *
 * An engine that releases layers refuses them to new answers, and loads no
 * other layers until the answers in progress on them have ended, which takes
 * seconds. The order of preference is therefore: engines without layers,
 * adjacent engines that retain all their layers, and engines whose layers are
 * all replicated. Adjacent engines release replicated layers only if the
 * engines of other groups don't serve the whole gap.
 */
export function fillGap(
  draft: PlanDraft,
  gap: LayerRange,
  servedElsewhere: readonly number[],
): boolean {
  if (assignIdleEngine(draft, gap)) return true;
  if (extendNeighbours(draft, gap, { mayRelease: false })) return true;
  const redundant = findRedundantEngine(draft);
  if (redundant && assignUpToTarget(draft, redundant, gap)) return true;
  if (layersOf(gap).every((layer) => servedElsewhere[layer])) return false;
  if (extendNeighbours(draft, gap, { mayRelease: true })) return true;
  shiftCapacityTowards(draft, gap);
  return false;
}

/**
 * Assigns the gap to the smallest idle engine that is large enough, or else to
 * the largest one, if possible of a failure domain that holds layers next to the
 * gap. If enough engines are idle, the first gets only half of the gap, which
 * shortens the time to load it.
 */
function assignIdleEngine(draft: PlanDraft, gap: LayerRange): boolean {
  const domains = domainsNextTo(draft, gap);
  const all = draft.idleEngines();
  const near = all.filter(({ failureDomain }) => domains.has(failureDomain));
  const idle = near.length > 0 ? near : all;
  const isSplit = idle.length > SPLIT_ABOVE_IDLE_ENGINES && layersIn(gap) > 1;
  const wantedLayers = isSplit ? Math.ceil(layersIn(gap) / 2) : layersIn(gap);
  const bySize = [...idle].sort((a, b) => a.memoryMb - b.memoryMb);
  const sufficient = bySize.find(
    (candidate) => draft.targetLayers(candidate) >= wantedLayers,
  );
  const engine = sufficient ?? bySize.at(-1);
  if (!engine) return false;
  assignUpToTarget(draft, engine, {
    from: gap.from,
    to: gap.from + wantedLayers,
  });
  return true;
}

/** Failure domains of the engines that hold the layers next to a gap. */
function domainsNextTo(draft: PlanDraft, gap: LayerRange): Set<string> {
  const neighbours = draft.group.filter((engine) => {
    const range = draft.held(engine);
    return range?.to === gap.from || range?.from === gap.to;
  });
  return new Set(neighbours.map(({ failureDomain }) => failureDomain));
}

/**
 * Assigns layers from the start of a gap up to the engine's target, but none
 * beyond the gap: callers wait until all assigned layers are loaded.
 */
function assignUpToTarget(
  draft: PlanDraft,
  engine: PlannedEngine,
  gap: LayerRange,
): boolean {
  const layers = Math.min(draft.targetLayers(engine), layersIn(gap));
  if (layers === 0) return false;
  draft.assign(engine, { from: gap.from, to: gap.from + layers });
  return true;
}

/**
 * Divides a gap between the two adjacent engines: each layer goes to the one
 * that has more capacity left with it. The whole gap on a single engine would
 * make that engine the bottleneck of the pipeline. Stops when neither can keep
 * the minimum capacity, and returns whether any layer was assigned.
 */
function extendNeighbours(
  draft: PlanDraft,
  gap: LayerRange,
  { mayRelease }: { readonly mayRelease: boolean },
): boolean {
  const neighbourBefore = findNeighbour(({ to }) => to === gap.from, true);
  const neighbourAfter = findNeighbour(({ from }) => from === gap.to, false);
  let { from, to } = gap;
  while (from < to) {
    const capacityBefore = neighbourBefore
      ? draft.capacityWith(neighbourBefore, from - gap.from + 1)
      : -1;
    const capacityAfter = neighbourAfter
      ? draft.capacityWith(neighbourAfter, gap.to - to + 1)
      : -1;
    if (Math.max(capacityBefore, capacityAfter) < draft.minKvTokens) break;
    if (capacityBefore >= capacityAfter) from += 1;
    else to -= 1;
  }
  if (neighbourBefore && from > gap.from) {
    draft.assign(
      neighbourBefore.engine,
      extendRange(neighbourBefore.retained, from - gap.from, true),
    );
  }
  if (neighbourAfter && to < gap.to) {
    draft.assign(
      neighbourAfter.engine,
      extendRange(neighbourAfter.retained, gap.to - to, false),
    );
  }
  return from > gap.from || to < gap.to;

  function findNeighbour(
    isAdjacent: (range: LayerRange) => boolean,
    isBefore: boolean,
  ): Neighbour | undefined {
    const choices = draft.group.flatMap((engine) => {
      const range = draft.held(engine);
      if (!range || !engine.acceptsOrders || !isAdjacent(range)) return [];
      const retained =
        mayRelease && !draft.hasOrder(engine)
          ? withoutRedundantLayers(draft, engine, range, isBefore)
          : range;
      return [{ engine, retained }];
    });
    return choices.sort(
      (a, b) => draft.capacityWith(b, 1) - draft.capacityWith(a, 1),
    )[0];
  }
}

/**
 * Returns the range without replicated layers at the end that is farther from
 * the gap. `isBefore` says that the range precedes the gap. At least one layer
 * remains.
 */
function withoutRedundantLayers(
  draft: PlanDraft,
  engine: PlannedEngine,
  range: LayerRange,
  isBefore: boolean,
): LayerRange {
  let { from, to } = range;
  if (isBefore) {
    while (from < to - 1 && draft.isServedByOthers(engine, from)) from += 1;
  } else {
    while (to > from + 1 && draft.isServedByOthers(engine, to - 1)) to -= 1;
  }
  return { from, to };
}

/**
 * Extends the nearest engines with unused memory towards the gap, so that they
 * replicate layers of the engines next to them. In later plans those engines
 * can release the replicated layers and extend in turn, until the engine
 * adjacent to the gap has enough memory for it.
 */
function shiftCapacityTowards(draft: PlanDraft, gap: LayerRange): void {
  const choices = draft.group.flatMap((engine) => {
    const range = draft.held(engine);
    if (!range || !engine.acceptsOrders || draft.hasOrder(engine)) return [];
    const isBefore = range.to <= gap.from;
    if (!isBefore && range.from < gap.to) return [];
    const distance = isBefore ? gap.from - range.to : range.from - gap.to;
    const retained = withoutRedundantLayers(draft, engine, range, isBefore);
    const unusedLayers = maxLayers(draft, engine) - layersIn(retained);
    const addedLayers = Math.min(unusedLayers, layersIn(gap), distance);
    return addedLayers > 0
      ? [{ engine, retained, isBefore, addedLayers, distance }]
      : [];
  });
  let missing = layersIn(gap);
  for (const choice of choices.sort((a, b) => a.distance - b.distance)) {
    if (missing <= 0) break;
    missing -= choice.addedLayers;
    draft.assign(
      choice.engine,
      extendRange(choice.retained, choice.addedLayers, choice.isBefore),
    );
  }
}

function maxLayers(
  { model, minKvTokens: tokens }: PlanDraft,
  { memoryMb }: PlannedEngine,
): number {
  return maxLayersWithCapacity(model, { memoryMb, tokens });
}

/**
 * Returns the slowest engine whose layers are all served by other engines of
 * the group as well. Pipelines prefer fast engines, so it is the least used.
 */
function findRedundantEngine(draft: PlanDraft): PlannedEngine | undefined {
  return draft.group
    .filter((engine) => {
      const range = draft.held(engine);
      if (!engine.acceptsOrders || !range || draft.hasOrder(engine))
        return false;
      return layersOf(range).every((layer) =>
        draft.isServedByOthers(engine, layer),
      );
    })
    .sort((a, b) => compareSpeed(b, a))[0];
}
