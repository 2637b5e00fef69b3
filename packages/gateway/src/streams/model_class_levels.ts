/** Keeps the class levels of each model service up to date. */
import {
  type ClassLevel,
  type ClassLevels,
  createClassLevels,
  type DemandByClass,
} from "@rosemarypin/admission";
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendFleet } from "../backends/mod.ts";
import type { Configuration, Service } from "../configuration.ts";
import type { DemandBoard } from "./demand_board.ts";
import { capacityTokensOf } from "./model_capacity.ts";
import { classesOfService } from "./service_classes.ts";

/** Levels are recomputed no more often; changes within it are merged. */
const MIN_UPDATE_INTERVAL_MS = 50;
/** Interval of updates while a limit is in force, since limits rise by time. */
const LIMITED_UPDATE_INTERVAL_MS = 200;
/** Change of a limit that is logged. */
const LOGGED_CHANGE = 0.05;
const MIN_LOG_INTERVAL_MS = 1_000;

const log = createLogger("streams");

export interface ModelClassLevels {
  /**
   * Share of each engine's memory up to which a request is admitted; 1 for
   * services without at least two classes.
   */
  loadLimitOf(service: string, priority: number): number;
  /** Levels of the services with at least two classes. */
  levels(): ReadonlyMap<string, readonly ClassLevel[]>;
  /** Registers a callback for changed limits. */
  onChanged(callback: () => void): void;
}

export interface ModelClassLevelsOptions {
  readonly board: DemandBoard;
  readonly fleet: Pick<BackendFleet, "ofService" | "detector">;
  /** The configuration in force; `null` before the first one. */
  readonly configuration: () => Configuration | null;
  readonly signal: AbortSignal;
}

interface ServiceLevels {
  readonly service: Service;
  readonly classes: readonly number[];
  readonly levels: ClassLevels;
  readonly loggedByClass: Map<number, LoggedLimit>;
}

interface LoggedLimit {
  readonly loadLimit: number;
  readonly at: number;
}

/** Creates levels that follow the demand board until the signal aborts. */
export function createModelClassLevels({
  board,
  fleet,
  configuration,
  signal,
}: ModelClassLevelsOptions): ModelClassLevels {
  const callbacks: (() => void)[] = [];
  let applied: Configuration | null = null;
  let levelsByService = new Map<string, ServiceLevels>();
  let updatedAt = -Infinity;
  let timer: NodeJS.Timeout | null = null;
  let timerAt = Infinity;
  board.onChanged(() => scheduleUpdate(MIN_UPDATE_INTERVAL_MS));
  signal.addEventListener("abort", () => clearTimeout(timer ?? undefined));

  function scheduleUpdate(intervalMs: number): void {
    if (signal.aborted) return;
    const at = Math.max(performance.now(), updatedAt + intervalMs);
    if (at >= timerAt) return;
    clearTimeout(timer ?? undefined);
    timerAt = at;
    timer = setTimeout(update, at - performance.now());
    timer.unref();
  }

  function update(): void {
    timer = null;
    timerAt = Infinity;
    updatedAt = performance.now();
    followConfiguration();
    let needsFurtherUpdate = false;
    for (const entry of levelsByService.values()) {
      const { service, classes, levels } = entry;
      const demand = withAllClasses(board.total(service.name), classes);
      levels.update(demand, capacityTokensOf(service, fleet));
      const isAllLogged = logChanges(entry, demand);
      const isLimited = levels.levels().some(({ loadLimit }) => loadLimit < 1);
      needsFurtherUpdate ||= isLimited || !isAllLogged;
    }
    if (needsFurtherUpdate) scheduleUpdate(LIMITED_UPDATE_INTERVAL_MS);
  }

  /** Keeps the levels of services whose classes are the same as before. */
  function followConfiguration(): void {
    const current = configuration();
    if (current === null || current === applied) return;
    applied = current;
    const next = new Map<string, ServiceLevels>();
    for (const service of current.services.values()) {
      const classes = classesOfService(current, service.name);
      if (!service.engine || classes.length < 2) continue;
      const known = levelsByService.get(service.name);
      const isKept = known && String(known.classes) === String(classes);
      const kept = isKept ? known : createServiceLevels();
      next.set(service.name, { ...kept, service, classes });
    }
    levelsByService = next;
  }

  function createServiceLevels() {
    const onChanged = () => {
      for (const callback of callbacks) callback();
    };
    return {
      levels: createClassLevels({ onChanged }),
      loggedByClass: new Map<number, LoggedLimit>(),
    };
  }

  return {
    loadLimitOf: (service, priority) =>
      levelsByService.get(service)?.levels.loadLimitOf(priority) ?? 1,
    levels: () =>
      new Map(
        [...levelsByService].map(([name, { levels }]) => [
          name,
          levels.levels(),
        ]),
      ),
    onChanged(callback) {
      callbacks.push(callback);
    },
  };
}

/** Adds the configured classes that have no demand. */
function withAllClasses(
  demand: DemandByClass,
  classes: readonly number[],
): DemandByClass {
  const none = { arrivingPerSecond: 0, waiting: 0, held: 0 };
  return new Map([
    ...classes.map((priority) => [priority, none] as const),
    ...demand,
  ]);
}

/** Returns whether no change is left to be logged later. */
function logChanges(
  { service, levels, loggedByClass }: ServiceLevels,
  demand: DemandByClass,
): boolean {
  const now = performance.now();
  let isAllLogged = true;
  for (const { priority, loadLimit, reserve } of levels.levels()) {
    const last = loggedByClass.get(priority) ?? { loadLimit: 1, at: -Infinity };
    if (Math.abs(loadLimit - last.loadLimit) < LOGGED_CHANGE) continue;
    if (now - last.at < MIN_LOG_INTERVAL_MS) {
      isAllLogged = false;
      continue;
    }
    loggedByClass.set(priority, { loadLimit, at: now });
    const { waiting = 0, held = 0 } = demand.get(priority) ?? {};
    log.info("class_level", {
      service: service.name,
      priority,
      load_limit: loadLimit.toFixed(2),
      reserve: reserve.toFixed(2),
      waiting: Math.round(waiting),
      held: Math.round(held),
    });
  }
  return isAllLogged;
}
