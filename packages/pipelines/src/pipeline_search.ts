/**
 * Finds the pipelines of answers among the same engines, whose loads change from
 * one answer to the next. What depends only on the engines and their layers is
 * computed once.
 */
import {
  type EnginePath,
  findReentry,
  searchBranches,
} from "./entry_branches.ts";
import { createLayerTable } from "./layer_table.ts";
import { BACKLOG_COST_SHARE, loadedLayerMs } from "./path_costs.ts";
import { createPathSearch, MAX_STAGES } from "./path_search.ts";
import { idleLayerMs } from "./stage_time.ts";
import type { LayerRange, ModelShape } from "./types.ts";

/** An engine that holds layers. */
export interface SearchedEngine {
  readonly id: string;
  readonly failureDomain: string;
  readonly held: LayerRange;
  /** Duration of a decode step relative to an engine with factor 1. */
  readonly stepFactor: number;
}

/** An engine and the layers that it runs in a pipeline. */
export interface Stage {
  readonly engineId: string;
  readonly range: LayerRange;
}

/** Engines that run every layer once, in order. */
export interface Pipeline {
  readonly stages: readonly Stage[];
  /** Expected milliseconds per token, plus penalties for crossings and load. */
  readonly cost: number;
}

/** Engines whose state the owner updates in place, by their index. */
export interface PipelineSearch {
  /** 1 for engines that a pipeline may use; 0 for all at first. */
  readonly isUsable: Uint8Array;
  /** Share of the KV cache that answers in progress use; may exceed 1. */
  readonly loads: Float64Array;
  /** Prefill time of the prompt tokens in the backlog, in milliseconds. */
  readonly backlogsMs: Float64Array;
  setStepFactor(index: number, stepFactor: number): void;
  /**
   * Sets what the link between two failure domains adds to the cost of a hop, in
   * milliseconds per token; infinite for a link that can't be used.
   */
  setLinkMs(domain: string, other: string, ms: number): void;
  /** Returns the cheapest pipeline found, or `null` if there is none. */
  find(range?: LayerRange): Pipeline | null;
  /**
   * Whether usable engines cover all layers of the range with as many stages as
   * a pipeline may have. Then there is a pipeline if all links can be used;
   * searching it takes longer.
   */
  covers(range?: LayerRange): boolean;
}

/**
 * Creates a search among engines, of which none is usable yet. Pipelines
 * preferably start in `failureDomain`.
 */
export function createPipelineSearch(
  engines: readonly SearchedEngine[],
  options: { readonly model: ModelShape; readonly failureDomain: string },
): PipelineSearch {
  const { model } = options;
  const count = engines.length;
  const isUsable = new Uint8Array(count);
  const loads = new Float64Array(count);
  const backlogsMs = new Float64Array(count);
  const idleMs = Float64Array.from(engines, (engine) =>
    idleLayerMs(model, engine),
  );
  const table = createLayerTable(engines, options);
  const { froms, tos, domains, domainCount, layerCount, layerShares } = table;
  const { domainNames } = table;
  /** What links add to a hop, by the numbers of the domains. */
  const linkMs = new Float64Array(domainCount * domainCount);
  const wholeModel = { from: 0, to: model.layerCount };

  // What one search computes of its usable engines.
  const layerMs = new Float64Array(count);
  const entryMs = new Float64Array(count);
  /** Exclusive end of the longest range that begins at a layer; 0 if none. */
  const reach = new Int32Array(layerCount + 1);
  /** The first layer from this one on at which a range begins. */
  const nextStart = new Int32Array(layerCount + 2);
  /** Position of a failure domain in the order of the usable engines. */
  const ranks = new Int32Array(domainCount);
  /** `linkMs` by that order. */
  const rankedLinkMs = new Float64Array(domainCount * domainCount);

  const searchPath = createPathSearch(table, {
    isUsable,
    layerMs,
    entryMs,
    linkMs: rankedLinkMs,
    ranks,
    nextStart,
  });

  /** Marks the ranges of usable engines and returns whether they cover all. */
  function markRanges(first: number, end: number): boolean {
    reach.fill(0);
    for (let index = 0; index < count; index += 1) {
      if (isUsable[index] === 0) continue;
      const from = froms[index] as number;
      const to = tos[index] as number;
      if (to > (reach[from] as number)) reach[from] = to;
    }
    let covered = 0;
    for (let layer = 0; layer < end; layer += 1) {
      const to = reach[layer] as number;
      if (to > covered) covered = to;
      if (covered <= layer && layer >= first) return false;
    }
    return true;
  }

  /** Prepares the costs of usable engines and the order of their domains. */
  function prepare(): void {
    ranks.fill(-1);
    ranks[0] = 0;
    let ranked = 1;
    for (let index = 0; index < count; index += 1) {
      if (isUsable[index] === 0) continue;
      const domain = domains[index] as number;
      if (ranks[domain] === -1) {
        ranks[domain] = ranked;
        ranked += 1;
      }
      layerMs[index] = loadedLayerMs(
        idleMs[index] as number,
        loads[index] as number,
        layerShares[index] as number,
      );
      entryMs[index] = (backlogsMs[index] as number) * BACKLOG_COST_SHARE;
    }
    rankLinks();
    let next = layerCount + 1;
    for (let layer = layerCount; layer >= 0; layer -= 1) {
      if ((reach[layer] as number) > 0) next = layer;
      nextStart[layer] = next;
    }
  }

  function rankLinks(): void {
    for (let from = 0; from < domainCount; from += 1) {
      const row = ranks[from] as number;
      if (row < 0) continue;
      for (let to = 0; to < domainCount; to += 1) {
        const column = ranks[to] as number;
        if (column < 0) continue;
        rankedLinkMs[row * domainCount + column] = linkMs[
          from * domainCount + to
        ] as number;
      }
    }
  }

  function describe({ engines: passed, ends, first, cost }: EnginePath) {
    const stages: Stage[] = [];
    let from = first;
    for (let stage = 0; stage < passed.length; stage += 1) {
      const to = ends[stage] as number;
      const engineId = engines[passed[stage] as number]?.id ?? "";
      stages.push({ engineId, range: { from, to } });
      from = to;
    }
    return { stages, cost };
  }

  return {
    isUsable,
    loads,
    backlogsMs,
    setStepFactor(index, stepFactor) {
      idleMs[index] = idleLayerMs(model, { stepFactor });
    },
    setLinkMs(domain, other, ms) {
      const from = domainNames.indexOf(domain);
      const to = domainNames.indexOf(other);
      if (from < 0 || to < 0) return;
      linkMs[from * domainCount + to] = ms;
      linkMs[to * domainCount + from] = ms;
    },
    find(range = wholeModel) {
      if (!markRanges(range.from, range.to)) return null;
      prepare();
      const path = searchPath(range, null);
      if (!path) return null;
      if (findReentry(path) < 0) return describe(path);
      const found = searchBranches(path, (bounds) => searchPath(range, bounds));
      return found && describe(found);
    },
    covers(range = wholeModel) {
      if (!markRanges(range.from, range.to)) return false;
      let stages = 0;
      let covered = 0;
      let furthest = 0;
      for (let layer = 0; layer < range.to; layer += 1) {
        furthest = Math.max(furthest, reach[layer] as number);
        if (layer < range.from || layer < covered) continue;
        covered = furthest;
        stages += 1;
      }
      return stages <= MAX_STAGES;
    },
  };
}
