/** Admits requests, queues them in fair order, and grants pipelines. */
import type { Shortage } from "@rosemarypin/admission";
import type { EngineFleet } from "@rosemarypin/backends";
import type {
  AnswerRequest,
  Limits,
  ModelVersion,
  Stage,
} from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEngineWindows } from "./engine_windows.ts";
import { createModelQueue, type ModelQueue } from "./model_queue.ts";
import { choosePipeline } from "./pipeline_choice.ts";

const RANDOM_RANGE = 1 << 20;

/** Pipeline granted to one attempt. */
export interface Grant {
  readonly stages: readonly Stage[];
  /** Records the arrival of a token, for the windows of the engines. */
  observeToken(): void;
  /** Releases the engines; further calls have no effect. */
  release(): void;
}

export type RefusalCode =
  | "queue_full"
  | "too_late"
  | "no_capacity"
  | "deadline";

export type GrantResult =
  | { readonly kind: "granted"; readonly grant: Grant }
  | {
      readonly kind: "refused";
      readonly code: RefusalCode;
      readonly retryAfterSeconds: number;
    };

export interface GrantRequest {
  readonly request: AnswerRequest;
  readonly version: ModelVersion;
  readonly avoid: ReadonlySet<string>;
  /** Whether an earlier attempt of the answer lost its engines. */
  readonly isRecovery: boolean;
  /** Engines that still have the answer's KV cache. */
  readonly prefer?: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** Model, version and adapter that engines have to hold. */
export interface CoverRequest {
  readonly model: string;
  readonly version: ModelVersion;
  readonly adapter: string | undefined;
}

/** Grants pipelines to answers. */
export interface Router {
  acquire(grantRequest: GrantRequest): Promise<GrantResult>;
  /** Whether usable engines hold all layers, including busy engines. */
  covers(coverRequest: CoverRequest): boolean;
  /** Refuses the waiting requests, and every request from now on. */
  stop(): void;
}

export interface RouterOptions {
  readonly fleet: EngineFleet;
  readonly failureDomain: string;
  readonly limits: Limits;
  readonly objectives: {
    readonly firstTokenMs: number;
    readonly betweenTokensMs: number;
  };
  /** Seed of random choices. */
  readonly seed: number;
  readonly metrics?: Metrics;
}

/** Creates the router of one instance. */
export function createRouter(options: RouterOptions): Router {
  const { fleet, limits, metrics, objectives } = options;
  const queues = new Map<string, ModelQueue>();
  const windows = createEngineWindows({
    betweenTokensMs: objectives.betweenTokensMs,
    maxSize: limits.answersPerEngine,
  });
  const random = createRandom(options.seed);
  let waiting = 0;

  function tryGrant(grantRequest: GrantRequest): Grant | Shortage {
    const { model, adapter } = grantRequest.request;
    const { version, avoid, prefer } = grantRequest;
    const choice = findPipeline({
      model,
      adapter,
      version,
      avoid,
      ...(prefer ? { prefer } : {}),
    });
    if (choice.kind === "busy") return "full";
    if (choice.kind === "uncovered") return "uncovered";
    return createGrant(choice.stages, queueOf(model));
  }

  function isCovered(grantRequest: GrantRequest): boolean {
    const { model, adapter } = grantRequest.request;
    const { version, avoid } = grantRequest;
    return (
      findPipeline({ model, adapter, version, avoid }).kind !== "uncovered"
    );
  }

  function findPipeline(
    requirements: CoverRequest & Pick<GrantRequest, "avoid" | "prefer">,
  ) {
    const engines = fleet.engines();
    windows.update(engines);
    return choosePipeline(engines, {
      ...requirements,
      failureDomain: options.failureDomain,
      windowOf: windows.sizeOf,
      random,
    });
  }

  function createGrant(stages: readonly Stage[], queue: ModelQueue): Grant {
    const engines = stages.map(({ engine }) => engine);
    const releaseEngines = fleet.occupy(engines);
    const grantedAt = performance.now();
    let lastTokenAt: number | null = null;
    return {
      stages,
      observeToken() {
        const now = performance.now();
        if (lastTokenAt === null) queue.observeFirstToken(now - grantedAt);
        else windows.observe(engines, now - lastTokenAt);
        lastTokenAt = now;
      },
      release() {
        releaseEngines();
        queue.pump();
      },
    };
  }

  function queueOf(model: string): ModelQueue {
    const existing = queues.get(model);
    if (existing) return existing;
    const created = createModelQueue({
      tryGrant,
      isCovered,
      firstTokenObjectiveMs: objectives.firstTokenMs,
      maxLength: limits.queueLength,
      onLengthChange: updateWaiting,
    });
    queues.set(model, created);
    return created;
  }

  function updateWaiting(change: 1 | -1): void {
    waiting += change;
    metrics?.queued.set(waiting);
  }

  return {
    acquire: (grantRequest) =>
      queueOf(grantRequest.request.model).acquire(grantRequest),
    covers: (coverRequest) =>
      findPipeline({ ...coverRequest, avoid: new Set() }).kind !== "uncovered",
    stop() {
      for (const queue of queues.values()) queue.stop();
    },
  };
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_RANGE) / RANDOM_RANGE;
}
