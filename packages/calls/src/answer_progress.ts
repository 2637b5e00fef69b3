/** State of an answer across its attempts. */
import type {
  AnswerProvenance,
  AnswerRequest,
  AttemptRequest,
  LayerRange,
  ModelVersion,
  Stage,
} from "@rosemarypin/schemas";

/** KV cache that one engine holds for the delivered tokens. */
interface EngineCache {
  readonly layers: LayerRange;
  readonly incarnation: number | undefined;
}

/** Mutable state of an answer, updated by each attempt. */
export interface Progress {
  readonly deliveredTokens: string[];
  digest: string;
  version: ModelVersion | null;
  noteNumber: number;
  attemptNumber: number;
  /** Attempts since the last new token. */
  attemptsSinceToken: number;
  /** Whether an engine may have run part of the answer. */
  mayHaveRun: boolean;
  /** Time at which a stage was found lost; reset by the next token. */
  stageLostAt: number | null;
  /** Engines that failed this answer, by name. */
  readonly avoidedEngines: Set<string>;
  /** KV caches of the answer, by engine name. */
  readonly caches: Map<string, EngineCache>;
}

/** Creates the state of an answer that has not started. */
export function createProgress(): Progress {
  return {
    deliveredTokens: [],
    digest: "",
    version: null,
    noteNumber: 0,
    attemptNumber: 0,
    attemptsSinceToken: 0,
    mayHaveRun: false,
    stageLostAt: null,
    avoidedEngines: new Set(),
    caches: new Map(),
  };
}

/** Builds the request of the next attempt, which reuses the KV caches. */
export function buildAttemptRequest(
  request: AnswerRequest,
  options: {
    readonly progress: Progress;
    readonly stages: readonly Stage[];
    readonly incarnations: ReadonlyMap<string, number>;
  },
): AttemptRequest {
  const { progress, stages, incarnations } = options;
  const positions =
    request.promptTokens.length + progress.deliveredTokens.length - 1;
  return {
    requestId: request.requestId,
    organisation: request.organisation,
    attempt: progress.attemptNumber,
    model: request.model,
    version: progress.version?.version ?? "",
    adapter: request.adapter,
    noteNumber: progress.noteNumber,
    stages: stages.map((stage) => ({
      ...stage,
      incarnation: incarnations.get(stage.engine),
      ...(hasCache(stage, { progress, incarnations })
        ? { keptPositions: positions }
        : {}),
    })),
    promptTokens: [...request.promptTokens],
    deliveredTokens: [...progress.deliveredTokens],
    maxTokens: request.maxTokens,
    priority: request.priority,
  };
}

function hasCache(
  stage: Stage,
  options: {
    readonly progress: Progress;
    readonly incarnations: ReadonlyMap<string, number>;
  },
): boolean {
  const cache = options.progress.caches.get(stage.engine);
  if (!cache) return false;
  const { layers, incarnation } = cache;
  return (
    layers.from === stage.layers.from &&
    layers.to === stage.layers.to &&
    incarnation === options.incarnations.get(stage.engine)
  );
}

/**
 * Updates the KV caches after an attempt. An attempt that delivered a token
 * proves that all its stages have the cache, and makes other caches stale.
 * Otherwise a stage still has its cache only if neither it nor a later stage
 * had to recompute or import: an import may be incomplete.
 */
export function updateCaches(
  progress: Progress,
  options: {
    readonly attempt: AttemptRequest;
    readonly hasNewToken: boolean;
    readonly incarnations: ReadonlyMap<string, number>;
  },
): void {
  const { attempt, hasNewToken, incarnations } = options;
  const { stages } = attempt;
  stages.forEach(({ engine, layers, keptPositions, importFrom }, index) => {
    const followingStages = stages.slice(index);
    const isCacheIntact =
      keptPositions !== undefined &&
      !importFrom &&
      followingStages.every((stage) => stage.keptPositions !== undefined);
    if (!hasNewToken && !isCacheIntact) {
      progress.caches.delete(engine);
      return;
    }
    const incarnation = incarnations.get(engine);
    progress.caches.set(engine, { layers, incarnation });
  });
  if (!hasNewToken) return;
  const stageEngines = new Set(stages.map(({ engine }) => engine));
  for (const engine of progress.caches.keys()) {
    if (!stageEngines.has(engine)) progress.caches.delete(engine);
  }
}

/** Provenance reported at the end of the answer. */
export function toProvenance(progress: Progress): AnswerProvenance {
  return {
    version: progress.version?.version ?? "",
    noteNumber: progress.noteNumber,
    digest: progress.digest,
    attempts: progress.attemptNumber,
  };
}
