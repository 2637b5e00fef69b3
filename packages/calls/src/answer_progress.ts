/** What one answer has reached, over all its attempts. */
import type {
  AnswerProvenance,
  AnswerRequest,
  AttemptRequest,
  LayerRange,
  ModelVersion,
  Stage,
} from "@rosemarypin/schemas";

/** KV cache of the answer's delivered tokens on one engine. */
interface KeptCache {
  readonly layers: LayerRange;
  readonly incarnation: number | undefined;
}

export interface Progress {
  readonly delivered: string[];
  digest: string;
  version: ModelVersion | null;
  noteNumber: number;
  attempt: number;
  /** Attempts since the last new token. */
  fruitless: number;
  /** Whether an engine may have run any of it. */
  started: boolean;
  /** When the loss of a stage was seen, until the next token. */
  lostAt: number | null;
  readonly avoid: Set<string>;
  /** Engines that still have the KV cache, by name. */
  readonly kept: Map<string, KeptCache>;
}

/** An answer of which nothing ran yet. */
export function emptyProgress(): Progress {
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

/** The next attempt, which counts on the KV caches that are still there. */
export function describeAttempt(
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
 * Notes which engines have the KV cache of all delivered tokens. A token
 * shows that all stages had it. Without one, only stages that the attempt
 * did not make run earlier positions again are sure to have it still; an
 * import may not have come to its end.
 */
export function rememberCaches(
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
    const later = stages.slice(index);
    const untouched =
      keptPositions !== undefined &&
      !importFrom &&
      later.every((stage) => stage.keptPositions !== undefined);
    if (!gaveToken && !untouched) {
      progress.kept.delete(engine);
      return;
    }
    const incarnation = incarnations.get(engine);
    progress.kept.set(engine, { layers, incarnation });
  });
  if (!gaveToken) return;
  const names = new Set(stages.map(({ engine }) => engine));
  for (const engine of progress.kept.keys()) {
    if (!names.has(engine)) progress.kept.delete(engine);
  }
}

/** Facts about the whole answer. */
export function provenanceOf(progress: Progress): AnswerProvenance {
  return {
    version: progress.version?.version ?? "",
    noteNumber: progress.noteNumber,
    digest: progress.digest,
    attempts: progress.attempt,
  };
}
