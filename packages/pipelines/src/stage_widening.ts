/** Makes stages wider that have far less room than planned. */
import { grow } from "./layer_coverage.ts";
import type { Neighbour, PlanDraft, PlannedEngine } from "./plan_draft.ts";
import { type LayerRange, layersIn } from "./types.ts";

/** Share of the planned room below which a stage is narrow. */
export const TIGHT_SHARE = 0.5;
/** A neighbour helps if its room is then still so many times larger. */
const WIDER_BY = 1.2;

/**
 * Makes narrow stages wider, a step at a time: a neighbour with more room
 * holds layers of theirs too, and then they give these up. That needs no
 * pause: what passes through the layers that are given up goes on, and new
 * answers use the neighbour.
 */
export function widen(draft: PlanDraft, engine: PlannedEngine): void {
  const range = draft.held(engine);
  if (!range || !engine.orderable || draft.isOrdered(engine)) return;
  const room = draft.roomWith({ engine, kept: range }, 0);
  if (room >= draft.tokens * TIGHT_SHARE) return;
  const narrower = trimmed(draft, engine, range);
  if (layersIn(narrower) < layersIn(range)) return draft.give(engine, narrower);
  const helps = draft.group.flatMap((other) => {
    const held = draft.held(other);
    if (!held || !other.orderable || draft.isOrdered(other)) return [];
    const isBefore = held.from < range.from && held.to === range.from;
    const isAfter = held.to > range.to && held.from === range.to;
    if (!isBefore && !isAfter) return [];
    const help = { engine: other, kept: held };
    return [{ help, isBefore, roomAfter: draft.roomWith(help, 1) }];
  });
  const best = helps.sort((a, b) => b.roomAfter - a.roomAfter)[0];
  if (!best) return;
  const more = balancedMove(draft, { engine, kept: range }, best.help);
  if (more > 0)
    draft.give(best.help.engine, grow(best.help.kept, more, best.isBefore));
}

/** Layers that may go over until both have about the same room. */
function balancedMove(
  draft: PlanDraft,
  narrow: Neighbour,
  help: Neighbour,
): number {
  let more = 0;
  while (
    layersIn(narrow.kept) - more > 1 &&
    draft.roomWith(help, more + 1) > draft.roomWith(narrow, -more) * WIDER_BY
  ) {
    more += 1;
  }
  return more;
}

/** A range without edges that others serve, down to the usual size. */
function trimmed(
  draft: PlanDraft,
  engine: PlannedEngine,
  range: LayerRange,
): LayerRange {
  const least = draft.usualLayers(engine);
  let { from, to } = range;
  while (to - from > least && draft.isServedByOthers(engine, from)) from += 1;
  while (to - from > least && draft.isServedByOthers(engine, to - 1)) to -= 1;
  return { from, to };
}
