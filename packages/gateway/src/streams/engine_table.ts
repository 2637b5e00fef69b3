/**
 * Keeps what a search for pipelines reads of the engines of one service. Rows
 * are built once for each change of the engines; loads and conditions are
 * updated in place before a search.
 */
import {
  createPipelineSearch,
  kvCapacityTokens,
  layersIn,
  type PipelineSearch,
  prefillMs,
} from "@rosemarypin/pipelines";
import { type BackendServer, heldOf } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import type { EngineKind, EngineShape } from "../configuration.ts";
import type { EngineTotals } from "./engine_totals.ts";
import type { EngineUsage } from "./engine_usage.ts";
import type { UnreportedUsage } from "./unreported_usage.ts";

/** One engine that holds layers. */
export interface EngineRow {
  readonly index: number;
  readonly id: string;
  readonly server: BackendServer;
  readonly kind: EngineKind;
  readonly layers: number;
  /** Tokens for which it has memory, beside its layers; at least 1. */
  readonly capacityTokens: number;
  readonly totals: EngineTotals;
}

export interface EngineTable {
  /** The engines, in the order of the list. */
  readonly rows: readonly EngineRow[];
  /** Failure domains of the engines, and that of this instance. */
  readonly domains: readonly string[];
  readonly search: PipelineSearch;
  /** 1 for engines that new requests may go to. */
  readonly isInUse: Uint8Array;
  rowOf(id: string): EngineRow | null;
  /** Whether a server's entry is as in this table, apart from its condition. */
  matches(server: BackendServer): boolean;
  /** Reads the condition of an engine again, until it has nothing special. */
  watch(id: string): void;
  /** Updates loads and conditions. */
  refresh(): void;
}

export interface EngineTableOptions {
  readonly fleet: BackendFleet;
  readonly failureDomain: string;
  readonly usage: EngineUsage;
  readonly unreported: UnreportedUsage;
}

/** Builds the table of the engines that the fleet lists now. */
export function createEngineTable(
  service: string,
  { model, kinds }: EngineShape,
  { fleet, failureDomain, usage, unreported }: EngineTableOptions,
): EngineTable {
  const rows: EngineRow[] = [];
  const rowById = new Map<string, EngineRow>();
  for (const server of fleet.ofService(service)) {
    const kind = kinds.get(server.kind ?? "");
    const held = heldOf(server, model);
    if (!kind || !held) continue;
    const layers = layersIn(held);
    const { memoryMb } = kind;
    const row = {
      index: rows.length,
      id: server.id,
      server,
      kind,
      layers,
      capacityTokens: kvCapacityTokens(model, { memoryMb, layers }),
      totals: usage.totalsOf(server.id),
    };
    rows.push(row);
    rowById.set(row.id, row);
  }
  const search = createPipelineSearch(
    rows.map(({ id, server, kind }) => ({
      id,
      failureDomain: server.failureDomain,
      held: server.held ?? { from: 0, to: 0 },
      stepFactor: kind.stepFactor,
    })),
    { model, failureDomain },
  );
  const isInUse = new Uint8Array(rows.length).fill(1);
  const reportedLoads = new Float64Array(rows.length);
  const prefillFactors = Float64Array.from(
    rows,
    ({ kind }) => kind.prefillFactor,
  );
  /** Engines whose condition is read before each search. */
  const watched = new Set<EngineRow>(rows);
  let revision = -1;
  let hadUnreported = false;

  function readCondition(row: EngineRow): void {
    const { index, id, kind, server } = row;
    const isUsable = fleet.isUsable(fleet.get(id) ?? server);
    const slowdown = fleet.slowdownOf(id);
    const reportedLoad = fleet.reportedLoad(id);
    isInUse[index] = isUsable ? 1 : 0;
    reportedLoads[index] = reportedLoad ?? 0;
    prefillFactors[index] = kind.prefillFactor * slowdown;
    search.setStepFactor(index, kind.stepFactor * slowdown);
    const isUsual = isUsable && slowdown === 1 && reportedLoad === null;
    if (isUsual) watched.delete(row);
  }

  function updateLoad(row: EngineRow): void {
    const { index, totals, layers } = row;
    const held =
      totals.localHeld +
      totals.peers.held +
      totals.domains.held +
      unreported.heldOn(row.server, layers);
    const unread =
      totals.localUnread + totals.peers.unread + totals.domains.unread;
    const load = held / Math.max(1, row.capacityTokens * layers);
    // The estimate can be too low, since it includes guesses for other
    // instances. A recent report of the engine itself, which the fleet
    // requests after a refusal, is used if it is higher.
    search.loads[index] = Math.max(load, reportedLoads[index] as number);
    search.backlogsMs[index] =
      unread === 0
        ? 0
        : prefillMs(model, {
            prefillFactor: prefillFactors[index] as number,
            tokenLayers: unread,
          });
  }

  const domains = new Set([
    failureDomain,
    ...rows.map(({ server }) => server.failureDomain),
  ]);

  return {
    rows,
    domains: [...domains],
    search,
    isInUse,
    rowOf: (id) => rowById.get(id) ?? null,
    matches(server) {
      const known = rowById.get(server.id)?.server;
      return (
        known !== undefined &&
        known.kind === server.kind &&
        known.failureDomain === server.failureDomain &&
        known.held?.from === server.held?.from &&
        known.held?.to === server.held?.to
      );
    },
    watch(id) {
      const row = rowById.get(id);
      if (row) watched.add(row);
    },
    refresh() {
      const hasWatched = watched.size > 0;
      for (const row of watched) readCondition(row);
      usage.dropExpired();
      const hasUnreported = unreported.update();
      const isSame =
        revision === usage.revision() &&
        !(hasWatched || hasUnreported || hadUnreported);
      if (isSame) return;
      revision = usage.revision();
      hadUnreported = hasUnreported;
      for (const row of rows) updateLoad(row);
    },
  };
}
