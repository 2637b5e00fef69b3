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
  readonly delivered: string[];
  digest: string;
  version: ModelVersion | null;
  noteNumber: number;
  attempt: number;
  /** Attempts since the last new token. */
  fruitless: number;
  /** Whether an engine may have run part of the answer. */
  started: boolean;
  /** Time at which a stage was found lost; reset by the next token. */
  lostAt: number | null;
  /** Engines that failed this answer, by name. */
  readonly avoid: Set<string>;
  /** KV caches of the answer, by engine name. */
  readonly kept: Map<string, EngineCache>;
}

/** Creates the state of an answer that has not started. */
export function createProgress(): Progress {
  return {
    delivered: [],
    digest: "",
    version: null,
    noteNumber: 0,
    attempt: 0,
    fruitless: 0,
    started: false,
    lostAt: null,
    avoid: new Set(),
    kept: new Map(),
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
  const positions = request.promptTokens.length + progress.delivered.length - 1;
  return {
    requestId: request.requestId,
    organisation: request.organisation,
    attempt: progress.attempt,
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
    deliveredTokens: [...progress.delivered],
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
  const kept = options.progress.kept.get(stage.engine);
  if (!kept) return false;
  const { layers, incarnation } = kept;
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
    readonly gaveToken: boolean;
    readonly incarnations: ReadonlyMap<string, number>;
  },
): void {
  const { attempt, gaveToken, incarnations } = options;
  const { stages } = attempt;
  stages.forEach(({ engine, layers, keptPositions, importFrom }, index) => {
    const followingStages = stages.slice(index);
    const isCacheIntact =
      keptPositions !== undefined &&
      !importFrom &&
      followingStages.every((stage) => stage.keptPositions !== undefined);
    if (!gaveToken && !isCacheIntact) {
      progress.kept.delete(engine);
      return;
    }
    const incarnation = incarnations.get(engine);
    progress.kept.set(engine, { layers, incarnation });
  });
  if (!gaveToken) return;
  const stageEngines = new Set(stages.map(({ engine }) => engine));
  for (const engine of progress.kept.keys()) {
    if (!stageEngines.has(engine)) progress.kept.delete(engine);
  }
}

/** Provenance reported at the end of the answer. */
export function toProvenance(progress: Progress): AnswerProvenance {
  return {
    version: progress.version?.version ?? "",
    noteNumber: progress.noteNumber,
    digest: progress.digest,
    attempts: progress.attempt,
  };
}
