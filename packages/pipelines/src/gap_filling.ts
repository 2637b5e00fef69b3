/** Gives layers that nobody holds to engines of a group. */
import { layersWithRoom } from "./engine_capacity.ts";
import { grow, layersOf } from "./layer_coverage.ts";
import {
  bySpeed,
  type Neighbour,
  type PlanDraft,
  type PlannedEngine,
} from "./plan_draft.ts";
import { type LayerRange, layersIn } from "./types.ts";

/** Free engines beyond which two of them share a gap. */
const FREE_TO_SHARE = 2;

/**
 * An engine that gives layers up refuses them to new answers and loads no
 * others until the answers in progress there have ended, which takes seconds.
 * So engines that hold nothing come first, then neighbours, which
 * keep all that they hold; then those whose layers all have other holders.
 * Engines in use are moved only when nobody else holds a layer at all.
 */
export function fillGap(
  draft: PlanDraft,
  gap: LayerRange,
  servedElsewhere: readonly number[],
): boolean {
  if (useFree(draft, gap)) return true;
  if (extendNeighbours(draft, gap, { mayGiveUp: false })) return true;
  const spare = spareEngine(draft);
  if (spare && giveUsual(draft, spare, gap)) return true;
  if (layersOf(gap).every((layer) => servedElsewhere[layer])) return false;
  if (extendNeighbours(draft, gap, { mayGiveUp: true })) return true;
  shiftSpare(draft, gap);
  return false;
}

/**
 * Uses the smallest free engine that fills the gap, or else the largest. Two
 * share a gap while others stay free: each has fewer layers to load.
 */
function useFree(draft: PlanDraft, gap: LayerRange): boolean {
  const free = draft.free();
  const isShared = free.length > FREE_TO_SHARE && layersIn(gap) > 1;
  const wanted = isShared ? Math.ceil(layersIn(gap) / 2) : layersIn(gap);
  const bySize = [...free].sort((a, b) => a.memoryMb - b.memoryMb);
  const enough = bySize.find((one) => draft.usualLayers(one) >= wanted);
  const engine = enough ?? bySize.at(-1);
  if (!engine) return false;
  giveUsual(draft, engine, { from: gap.from, to: gap.from + wanted });
  return true;
}

/** No more than is missing: callers wait for each layer to be loaded. */
function giveUsual(
  draft: PlanDraft,
  engine: PlannedEngine,
  gap: LayerRange,
): boolean {
  const layers = Math.min(draft.usualLayers(engine), layersIn(gap));
  if (layers === 0) return false;
  draft.give(engine, { from: gap.from, to: gap.from + layers });
  return true;
}

/**
 * Lets the engines beside a gap hold its layers, each layer going to the one
 * that has more room left with it. Given to one of them alone, a whole range
 * made that one the narrowest stage of all.
 */
function extendNeighbours(
  draft: PlanDraft,
  gap: LayerRange,
  { mayGiveUp }: { readonly mayGiveUp: boolean },
): boolean {
  const before = neighbour(({ to }) => to === gap.from, true);
  const after = neighbour(({ from }) => from === gap.to, false);
  let { from, to } = gap;
  while (from < to) {
    const roomBefore = before
      ? draft.roomWith(before, from - gap.from + 1)
      : -1;
    const roomAfter = after ? draft.roomWith(after, gap.to - to + 1) : -1;
    if (Math.max(roomBefore, roomAfter) < draft.tightTokens) break;
    if (roomBefore >= roomAfter) from += 1;
    else to -= 1;
  }
  if (before && from > gap.from) {
    draft.give(before.engine, grow(before.kept, from - gap.from, true));
  }
  if (after && to < gap.to) {
    draft.give(after.engine, grow(after.kept, gap.to - to, false));
  }
  return from > gap.from || to < gap.to;

  function neighbour(
    isBeside: (range: LayerRange) => boolean,
    isBefore: boolean,
  ): Neighbour | undefined {
    const choices = draft.group.flatMap((engine) => {
      const range = draft.held(engine);
      if (!range || !engine.orderable || !isBeside(range)) return [];
      const kept =
        mayGiveUp && !draft.isOrdered(engine)
          ? withoutDoubles(draft, engine, range, isBefore)
          : range;
      return [{ engine, kept }];
    });
    return choices.sort(
      (a, b) => draft.roomWith(b, 1) - draft.roomWith(a, 1),
    )[0];
  }
}

/** What is left of a range without far layers that others serve too. */
function withoutDoubles(
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
 * Lets the nearest engines with spare memory hold layers of the next ones
 * towards the gap. Once they are loaded, those can give them up and come
 * closer, until the engine beside the gap has memory for it.
 */
function shiftSpare(draft: PlanDraft, gap: LayerRange): void {
  const choices = draft.group.flatMap((engine) => {
    const range = draft.held(engine);
    if (!range || !engine.orderable || draft.isOrdered(engine)) return [];
    const isBefore = range.to <= gap.from;
    if (!isBefore && range.from < gap.to) return [];
    const distance = isBefore ? gap.from - range.to : range.from - gap.to;
    const kept = withoutDoubles(draft, engine, range, isBefore);
    const spare = mostLayers(draft, engine) - layersIn(kept);
    const more = Math.min(spare, layersIn(gap), distance);
    return more > 0 ? [{ engine, kept, isBefore, more, distance }] : [];
  });
  let missing = layersIn(gap);
  for (const choice of choices.sort((a, b) => a.distance - b.distance)) {
    if (missing <= 0) break;
    missing -= choice.more;
    draft.give(choice.engine, grow(choice.kept, choice.more, choice.isBefore));
  }
}

function mostLayers(
  { model, tightTokens: tokens }: PlanDraft,
  { memoryMb }: PlannedEngine,
): number {
  return layersWithRoom(model, { memoryMb, tokens });
}

/**
 * An engine all of whose layers other engines of the group serve too; a slow
 * one, since pipelines pass through the fast ones.
 */
function spareEngine(draft: PlanDraft): PlannedEngine | undefined {
  return draft.group
    .filter((engine) => {
      const range = draft.held(engine);
      if (!engine.orderable || !range || draft.isOrdered(engine)) return false;
      return layersOf(range).every((layer) =>
        draft.isServedByOthers(engine, layer),
      );
    })
    .sort((a, b) => bySpeed(b, a))[0];
}
