/** Which versions of a placed model the engines of a pipeline are to hold. */

/** What is known of the versions that the note serves. */
export interface VersionFacts {
  /** Names of versions that may answer, the most preferred first. */
  readonly serve: readonly string[];
  /** Versions for whose weights there is room. */
  readonly versionsAtOnce: number;
  /** Whether engines of the domain hold all layers of a version. */
  readonly isCovered: (version: string) => boolean;
  /** Whether a pipeline of the plan holds all its layers of a version. */
  readonly holds: (pipeline: number, version: string) => boolean;
  /** Pipelines that the plan has for the model. */
  readonly pipelines: number;
}

/** The versions of one pipeline, the most preferred first. */
export function wantedVersions(
  pipeline: number,
  facts: VersionFacts,
): readonly string[] {
  const { serve, versionsAtOnce } = facts;
  if (versionsAtOnce > 1 || serve.length <= 1) return besideEachOther(facts);
  return oneAfterTheOther(pipeline, facts);
}

/**
 * While none of the preferred versions is whole, one that is keeps its place:
 * dropped to make room, it would leave nobody to answer until the load ends.
 */
function besideEachOther(facts: VersionFacts): readonly string[] {
  const { serve, versionsAtOnce, isCovered } = facts;
  const preferred = serve.slice(0, versionsAtOnce);
  if (preferred.some(isCovered)) return preferred;
  const answering = serve.find(isCovered);
  if (answering === undefined) return preferred;
  return [...serve.slice(0, versionsAtOnce - 1), answering];
}

/**
 * Without room for two versions, pipelines change one at a time, and the last
 * whole pipeline of a model is not given up for a version still to be loaded.
 */
function oneAfterTheOther(
  pipeline: number,
  facts: VersionFacts,
): readonly string[] {
  const { serve, holds, pipelines } = facts;
  const next = serve.slice(0, 1);
  const indexes = Array.from({ length: pipelines }, (_, index) => index);
  const heldBy = (index: number) =>
    serve.find((version) => holds(index, version));
  const own = heldBy(pipeline);
  if (own === undefined) return next;
  const changing = indexes.find((index) => heldBy(index) !== serve[0]);
  const isCovered = indexes.some(
    (index) => index !== pipeline && heldBy(index) !== undefined,
  );
  return changing === pipeline && isCovered ? next : [own];
}
