/** Chooses the versions of a placed model that a pipeline must hold. */

/** Served versions of a model, and where they are held. */
export interface WantedVersionsOptions {
  /** Names of the versions served, the most preferred first. */
  readonly serve: readonly string[];
  /** Number of versions whose weights fit in memory. */
  readonly versionsAtOnce: number;
  /** Whether the domain's engines together hold all layers of a version. */
  readonly isCovered: (version: string) => boolean;
  /** Whether the pipeline with this index holds all layers of a version. */
  readonly holds: (pipeline: number, version: string) => boolean;
  /** Number of pipelines that the plan has for the model. */
  readonly pipelines: number;
}

/** The versions that a pipeline must hold, the most preferred first. */
export function wantedVersions(
  pipeline: number,
  options: WantedVersionsOptions,
): readonly string[] {
  const { serve, versionsAtOnce } = options;
  if (versionsAtOnce > 1 || serve.length <= 1)
    return concurrentVersions(options);
  return rollingVersions(pipeline, options);
}

/**
 * The preferred versions. While none of them is completely held, the last is
 * replaced by a completely held version; otherwise no engine could answer.
 */
function concurrentVersions(options: WantedVersionsOptions): readonly string[] {
  const { serve, versionsAtOnce, isCovered } = options;
  const preferred = serve.slice(0, versionsAtOnce);
  if (preferred.some(isCovered)) return preferred;
  const fallback = serve.find(isCovered);
  if (fallback === undefined) return preferred;
  return [...serve.slice(0, versionsAtOnce - 1), fallback];
}

/**
 * With memory for one version, pipelines are updated one at a time, and the
 * only complete pipeline keeps its version until another one is complete.
 */
function rollingVersions(
  pipeline: number,
  options: WantedVersionsOptions,
): readonly string[] {
  const { serve, holds, pipelines } = options;
  const preferred = serve.slice(0, 1);
  const indexes = Array.from({ length: pipelines }, (_, index) => index);
  const heldVersion = (index: number) =>
    serve.find((version) => holds(index, version));
  const current = heldVersion(pipeline);
  if (current === undefined) return preferred;
  const updating = indexes.find((index) => heldVersion(index) !== serve[0]);
  const isOtherWhole = indexes.some(
    (index) => index !== pipeline && heldVersion(index) !== undefined,
  );
  return updating === pipeline && isOtherWhole ? preferred : [current];
}
