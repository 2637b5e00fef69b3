/**
 * Plans the layers of one group of engines: fills what is missing, widens what
 * is narrow, and keeps some engines empty.
 */
import { layersWithRoom, roomTokens } from "./engine_capacity.ts";
import { reserveOf, roomOfGroup, tightRoom, tokensOf } from "./group_room.ts";
import { countHolders, firstGap, grow, layersOf } from "./layer_coverage.ts";
import { chooseLayout } from "./layer_layout.ts";
import {
  type EngineFacts,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/** Free engines beyond which two of them share a gap. */
const FREE_TO_SHARE = 2;

/** Share of the planned room below which layers get an engine more. */
const TIGHT_SHARE = 0.5;

/** A neighbour helps if its room is then still so many times larger. */
const WIDER_BY = 1.2;

/** An engine that may be given other layers. */
export interface PlannedEngine extends EngineFacts {
  /** Layers that it serves now; `held` is what it was last ordered to hold. */
  readonly serving: LayerRange | null;
  /** False while an earlier order is in progress. */
  readonly orderable: boolean;
}

/** What an engine is to hold from now on. */
export interface LayerOrder {
  readonly engineId: string;
  readonly range: LayerRange;
}

/** Gives the orders for one group. */
export function planGroup(
  group: readonly PlannedEngine[],
  options: {
    readonly model: ModelShape;
    /** Engines of other groups that serve each layer. */
    readonly servedElsewhere: readonly number[];
  },
): LayerOrder[] {
  const { model, servedElsewhere } = options;
  const tightTokens = tightRoom(model);
  const tokens = roomOfGroup(group, model);
  const holds = new Map<string, LayerRange>();
  for (const { id, held } of group) if (held) holds.set(id, held);
  const free = group
    .filter(({ held, orderable }) => held === null && orderable)
    .sort(bySpeed);
  const orders = new Map<string, LayerOrder>();

  function give(engine: PlannedEngine, range: LayerRange): void {
    holds.set(engine.id, range);
    orders.set(engine.id, { engineId: engine.id, range });
  }

  function usualLayers({ memoryMb }: PlannedEngine): number {
    return layersWithRoom(model, { memoryMb, tokens });
  }

  function coverage(): number[] {
    return countHolders([...holds.values()], model.layerCount);
  }

  /**
   * Whether others serve a layer of an engine, so that it may give it up.
   * Layers that are only being loaded elsewhere don't count: until they are
   * there, nobody would serve them.
   */
  function isServedByOthers({ id }: PlannedEngine, layer: number): boolean {
    return group.some((other) => {
      const { serving } = other;
      const next = holds.get(other.id);
      if (other.id === id || !serving || !next) return false;
      const servesNow = serving.from <= layer && layer < serving.to;
      return servesNow && next.from <= layer && layer < next.to;
    });
  }

  /** Room for tokens that all holders of each layer have together. */
  function roomByLayer(): number[] {
    const rooms = new Array<number>(model.layerCount).fill(0);
    for (const { id, memoryMb } of group) {
      const range = holds.get(id);
      if (!range) continue;
      const room = roomTokens(model, { memoryMb, layers: layersIn(range) });
      for (let layer = range.from; layer < range.to; layer += 1) {
        rooms[layer] = (rooms[layer] ?? 0) + room;
      }
    }
    return rooms;
  }

  /**
   * An engine all of whose layers other engines of the group serve too; a slow
   * one, since pipelines pass through the fast ones.
   */
  function spareEngine(): PlannedEngine | undefined {
    return group
      .filter((engine) => {
        const range = holds.get(engine.id);
        if (!engine.orderable || !range || orders.has(engine.id)) return false;
        return layersOf(range).every((layer) =>
          isServedByOthers(engine, layer),
        );
      })
      .sort((a, b) => bySpeed(b, a))[0];
  }

  /**
   * An engine that gives layers up refuses them to new answers and loads no
   * others until the answers in progress there have ended, which took 4 to 11
   * seconds. So engines that hold nothing come first, then neighbours, which
   * keep all that they hold; then those whose layers all have other holders.
   * Engines in use are moved only when nobody else holds a layer at all.
   */
  function fillGap(gap: LayerRange): boolean {
    if (useFree(gap)) return true;
    if (extendNeighbours(gap, { mayGiveUp: false })) return true;
    const spare = spareEngine();
    if (spare && giveUsual(spare, gap)) return true;
    if (layersOf(gap).every((layer) => servedElsewhere[layer])) return false;
    if (extendNeighbours(gap, { mayGiveUp: true })) return true;
    shiftSpare(gap);
    return false;
  }

  /**
   * Uses the smallest free engine that fills the gap, or else the largest. Two
   * share a gap while others stay free: each has fewer layers to load.
   */
  function useFree(gap: LayerRange): boolean {
    const isShared = free.length > FREE_TO_SHARE && layersIn(gap) > 1;
    const wanted = isShared ? Math.ceil(layersIn(gap) / 2) : layersIn(gap);
    const bySize = [...free].sort((a, b) => a.memoryMb - b.memoryMb);
    const enough = bySize.find((one) => usualLayers(one) >= wanted);
    const engine = enough ?? bySize.at(-1);
    if (!engine) return false;
    free.splice(free.indexOf(engine), 1);
    giveUsual(engine, { from: gap.from, to: gap.from + wanted });
    return true;
  }

  /** No more than is missing: callers wait for each layer to be loaded. */
  function giveUsual(engine: PlannedEngine, gap: LayerRange): boolean {
    const layers = Math.min(usualLayers(engine), layersIn(gap));
    if (layers === 0) return false;
    give(engine, { from: gap.from, to: gap.from + layers });
    return true;
  }

  /**
   * Lets the engines beside a gap hold its layers, each layer going to the one
   * that has more room left with it. Given to one of them alone, a whole range
   * made that one the narrowest stage of all.
   */
  function extendNeighbours(
    gap: LayerRange,
    { mayGiveUp }: { readonly mayGiveUp: boolean },
  ): boolean {
    const before = neighbour(({ to }) => to === gap.from, true);
    const after = neighbour(({ from }) => from === gap.to, false);
    let { from, to } = gap;
    while (from < to) {
      const roomBefore = before ? roomWith(before, from - gap.from + 1) : -1;
      const roomAfter = after ? roomWith(after, gap.to - to + 1) : -1;
      if (Math.max(roomBefore, roomAfter) < tightTokens) break;
      if (roomBefore >= roomAfter) from += 1;
      else to -= 1;
    }
    if (before && from > gap.from) {
      give(before.engine, grow(before.kept, from - gap.from, true));
    }
    if (after && to < gap.to) {
      give(after.engine, grow(after.kept, gap.to - to, false));
    }
    return from > gap.from || to < gap.to;

    function neighbour(
      isBeside: (range: LayerRange) => boolean,
      isBefore: boolean,
    ): Neighbour | undefined {
      const choices = group.flatMap((engine) => {
        const range = holds.get(engine.id);
        if (!range || !engine.orderable || !isBeside(range)) return [];
        const kept =
          mayGiveUp && !orders.has(engine.id)
            ? withoutDoubles(engine, range, isBefore)
            : range;
        return [{ engine, kept }];
      });
      return choices.sort((a, b) => roomWith(b, 1) - roomWith(a, 1))[0];
    }
  }

  function roomWith({ engine, kept }: Neighbour, more: number): number {
    const { memoryMb } = engine;
    return roomTokens(model, { memoryMb, layers: layersIn(kept) + more });
  }

  /** What is left of a range without far layers that others serve too. */
  function withoutDoubles(
    engine: PlannedEngine,
    range: LayerRange,
    isBefore: boolean,
  ): LayerRange {
    let { from, to } = range;
    if (isBefore) {
      while (from < to - 1 && isServedByOthers(engine, from)) from += 1;
    } else {
      while (to > from + 1 && isServedByOthers(engine, to - 1)) to -= 1;
    }
    return { from, to };
  }

  /**
   * Lets the nearest engines with spare memory hold layers of the next ones
   * towards the gap. Once they are loaded, those can give them up and come
   * closer, until the engine beside the gap has memory for it.
   */
  function shiftSpare(gap: LayerRange): void {
    const choices = group.flatMap((engine) => {
      const range = holds.get(engine.id);
      if (!range || !engine.orderable || orders.has(engine.id)) return [];
      const isBefore = range.to <= gap.from;
      if (!isBefore && range.from < gap.to) return [];
      const distance = isBefore ? gap.from - range.to : range.from - gap.to;
      const kept = withoutDoubles(engine, range, isBefore);
      const spare = mostLayers(engine) - layersIn(kept);
      const more = Math.min(spare, layersIn(gap), distance);
      return more > 0 ? [{ engine, kept, isBefore, more, distance }] : [];
    });
    let missing = layersIn(gap);
    for (const choice of choices.sort((a, b) => a.distance - b.distance)) {
      if (missing <= 0) break;
      missing -= choice.more;
      give(choice.engine, grow(choice.kept, choice.more, choice.isBefore));
    }
  }

  function mostLayers({ memoryMb }: PlannedEngine): number {
    return layersWithRoom(model, { memoryMb, tokens: tightTokens });
  }

  /**
   * Makes narrow stages wider, a step at a time: a neighbour with more room
   * holds layers of theirs too, and then they give these up. That needs no
   * pause: what passes through the layers that are given up goes on, and new
   * answers use the neighbour.
   */
  function widen(engine: PlannedEngine): void {
    const range = holds.get(engine.id);
    if (!range || !engine.orderable || orders.has(engine.id)) return;
    const room = roomWith({ engine, kept: range }, 0);
    if (room >= tokens * TIGHT_SHARE) return;
    const narrower = trimmed(engine, range);
    if (layersIn(narrower) < layersIn(range)) return give(engine, narrower);
    const helps = group.flatMap((other) => {
      const held = holds.get(other.id);
      if (!held || !other.orderable || orders.has(other.id)) return [];
      const isBefore = held.from < range.from && held.to === range.from;
      const isAfter = held.to > range.to && held.from === range.to;
      if (!isBefore && !isAfter) return [];
      const help = { engine: other, kept: held };
      return [{ help, isBefore, roomAfter: roomWith(help, 1) }];
    });
    const best = helps.sort((a, b) => b.roomAfter - a.roomAfter)[0];
    if (!best) return;
    const more = balancedMove({ engine, kept: range }, best.help);
    if (more > 0)
      give(best.help.engine, grow(best.help.kept, more, best.isBefore));
  }

  /** Layers that may go over until both have about the same room. */
  function balancedMove(narrow: Neighbour, help: Neighbour): number {
    let more = 0;
    while (
      layersIn(narrow.kept) - more > 1 &&
      roomWith(help, more + 1) > roomWith(narrow, -more) * WIDER_BY
    ) {
      more += 1;
    }
    return more;
  }

  /** A range without edges that others serve, down to the usual size. */
  function trimmed(engine: PlannedEngine, range: LayerRange): LayerRange {
    const least = usualLayers(engine);
    let { from, to } = range;
    while (to - from > least && isServedByOthers(engine, from)) from += 1;
    while (to - from > least && isServedByOthers(engine, to - 1)) to -= 1;
    return { from, to };
  }

  /**
   * Lets free engines stand in for the one that holds most layers alone, if
   * they can hold all of these: lost, it would leave the largest gap. Else they
   * stay empty, and fill whatever gap opens sooner than engines that would
   * have to give layers up first.
   */
  function standIn(): void {
    const spare = free.slice(0, Math.max(0, free.length - reserveOf(group)));
    const range = largestAlone();
    if (!range) return;
    const layers = spare.reduce((total, one) => total + usualLayers(one), 0);
    if (layers < layersIn(range)) return;
    let { from } = range;
    for (const engine of spare) {
      const to = Math.min(range.to, from + usualLayers(engine));
      if (from >= to) break;
      free.splice(free.indexOf(engine), 1);
      give(engine, { from, to });
      from = to;
    }
  }

  /** The most layers that one engine alone holds. */
  function largestAlone(): LayerRange | undefined {
    const counts = coverage();
    return [...holds.values()]
      .filter((range) => layersOf(range).every((layer) => counts[layer] === 1))
      .sort((a, b) => layersIn(b) - layersIn(a) || a.from - b.from)[0];
  }

  /** Doubles the layers whose holders have least room. */
  function doubleLayers(engine: PlannedEngine): void {
    const layers = usualLayers(engine);
    if (layers === 0) return;
    const need = roomByLayer().map((room) => 1 / Math.max(1, room));
    let best = { from: 0, need: -1 };
    for (let from = 0; from + layers <= model.layerCount; from += 1) {
      const sum = need
        .slice(from, from + layers)
        .reduce((total, value) => total + value, 0);
      if (sum > best.need * (1 + Number.EPSILON * 16)) {
        best = { from, need: sum };
      }
    }
    give(engine, { from: best.from, to: best.from + layers });
  }

  /** Whether some layer's holders have far less room than planned. */
  function isTight(): boolean {
    return roomByLayer().some((room) => room < tokens * TIGHT_SHARE);
  }

  /**
   * Lays out one pipeline after the other with engines of their own, fast ones
   * first, so that an engine's end touches the answers of one pipeline only.
   */
  function layOut(): void {
    for (;;) {
      const layout = chooseLayout(free, model, {
        mostEngines: free.length - reserveOf(group),
        leastTokens: tightTokens,
        mostTokens: tokensOf(model, model.mostAnswers),
      });
      if (!layout) return;
      let from = 0;
      for (const { engine, layers } of layout.parts) {
        free.splice(free.indexOf(engine), 1);
        give(engine, { from, to: from + layers });
        from += layers;
      }
    }
  }

  const skipped = new Set<number>();
  if (holds.size === 0) layOut();
  for (;;) {
    const gap = firstGap(coverage(), skipped);
    if (!gap) break;
    if (!fillGap(gap)) skipped.add(gap.from);
  }
  free.sort((a, b) => a.memoryMb - b.memoryMb);
  while (free.length > 0 && isTight()) {
    const engine = free.shift();
    if (engine) doubleLayers(engine);
  }
  standIn();
  if (orders.size === 0) for (const engine of group) widen(engine);
  return [...orders.values()];
}

/** An engine beside layers that it could hold too. */
interface Neighbour {
  readonly engine: PlannedEngine;
  /** What it goes on to hold of its own. */
  readonly kept: LayerRange;
}

/** Fast engines first: more layers on them make every token faster. */
function bySpeed(a: PlannedEngine, b: PlannedEngine): number {
  return a.stepFactor - b.stepFactor || (a.id < b.id ? -1 : 1);
}
