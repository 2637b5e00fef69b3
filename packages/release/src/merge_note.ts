/** Merges a note into the catalogue that results from all earlier notes. */

import type {
  AddedLine,
  Catalogue,
  ChangedLine,
  Model,
  ReleaseNote,
  WithdrawnLine,
} from "@rosemarypin/schemas";

/** A line of a note that cannot be applied. */
export interface NoteProblem {
  /** Where in the note, such as `added[0]`. */
  readonly line: string;
  /** What is wrong and what to write instead. */
  readonly message: string;
}

export type MergeResult =
  | { readonly kind: "ok"; readonly catalogue: Catalogue }
  | { readonly kind: "invalid"; readonly problems: readonly NoteProblem[] };

/** Reports a problem of the line that is being merged. */
type ReportProblem = (message: string) => void;

/** Merges `note`, with the given number, into a copy of `base`. */
export function mergeNote(
  base: Catalogue,
  note: ReleaseNote,
  options: { readonly number: number },
): MergeResult {
  const { number } = options;
  const catalogue = structuredClone(base);
  const problems: NoteProblem[] = [];
  const reportAt =
    (line: string): ReportProblem =>
    (message) =>
      problems.push({ line, message });

  note.added.forEach((line, index) => {
    addLine(catalogue, line, {
      number,
      reportProblem: reportAt(`added[${index}]`),
    });
  });
  note.withdrawn.forEach((line, index) => {
    const reportProblem = reportAt(`withdrawn[${index}]`);
    const lines = withdrawLine(catalogue, line, { reportProblem });
    for (const withdrawnLine of lines) {
      catalogue.withdrawn.push({
        line: withdrawnLine,
        number,
        reason: note.reason,
      });
    }
  });
  note.changed.forEach((line, index) => {
    changeLine(catalogue, line, reportAt(`changed[${index}]`));
  });
  return problems.length > 0
    ? { kind: "invalid", problems }
    : { kind: "ok", catalogue };
}

function addLine(
  catalogue: Catalogue,
  line: AddedLine,
  options: { readonly number: number; readonly reportProblem: ReportProblem },
): void {
  const { number, reportProblem } = options;
  if (line.kind === "service") {
    addTo(catalogue.services, line.service, reportProblem);
    forbidWithdrawn(
      catalogue,
      reportProblem,
      (withdrawn) =>
        withdrawn.kind === "service" && withdrawn.service === line.service,
    );
    return;
  }
  const model = catalogue.models[line.model] ?? emptyModel();
  catalogue.models[line.model] = model;
  if (line.kind === "adapter") {
    addTo(model.adapters, line.adapter, reportProblem);
    forbidWithdrawn(
      catalogue,
      reportProblem,
      (withdrawn) =>
        withdrawn.kind === "adapter" &&
        withdrawn.model === line.model &&
        withdrawn.adapter === line.adapter,
    );
    return;
  }
  const { version, layers, layerSets } = line;
  if (model.versions[version])
    reportProblem(`version '${version}' already exists`);
  if (!coversOnce(layerSets, layers)) {
    reportProblem(
      `layerSets must cover layers 0 to ${layers} once each, in order`,
    );
  }
  forbidWithdrawn(
    catalogue,
    reportProblem,
    (withdrawn) =>
      (withdrawn.kind === "version" &&
        withdrawn.model === line.model &&
        withdrawn.version === version) ||
      (withdrawn.kind === "layerSet" &&
        withdrawn.model === line.model &&
        layerSets.some((set) => set.name === withdrawn.layerSet)),
  );
  model.versions[version] = { version, layers, layerSets, addedBy: number };
  if (line.serve) model.serve.unshift(version);
  else model.serve.push(version);
}

function changeLine(
  catalogue: Catalogue,
  line: ChangedLine,
  reportProblem: ReportProblem,
): void {
  const model = catalogue.models[line.model];
  if (!model) {
    reportProblem(
      `model '${line.model}' does not exist; add a version of it first`,
    );
    return;
  }
  for (const version of line.serve) {
    if (!model.versions[version]) {
      reportProblem(
        `version '${version}' of model '${line.model}' does not exist`,
      );
    }
  }
  model.serve = [...line.serve];
}

/**
 * Removes a batch and returns everything that is withdrawn with it. Withdrawing
 * a layer set also withdraws the versions that use it. Their names must not be
 * reused either, because engines and instances that are cut off identify a
 * version by its name only.
 */
function withdrawLine(
  catalogue: Catalogue,
  line: WithdrawnLine,
  options: { readonly reportProblem: ReportProblem },
): readonly WithdrawnLine[] {
  const { reportProblem } = options;
  if (line.kind === "service") {
    removeFrom(catalogue.services, line.service, reportProblem);
    return [line];
  }
  const model = catalogue.models[line.model];
  if (!model) {
    reportProblem(`model '${line.model}' does not exist`);
    return [line];
  }
  if (line.kind === "adapter") {
    removeFrom(model.adapters, line.adapter, reportProblem);
    return [line];
  }
  const removed = Object.values(model.versions).filter((version) =>
    line.kind === "version"
      ? version.version === line.version
      : version.layerSets.some((set) => set.name === line.layerSet),
  );
  if (removed.length === 0) reportProblem("nothing in use has that name");
  for (const { version } of removed) removeVersion(model, version);
  if (line.kind === "version") return [line];
  const versions = removed.map(
    ({ version }): WithdrawnLine => ({
      kind: "version",
      model: line.model,
      version,
    }),
  );
  // The line of the note comes last, because `explain` names the last one.
  return [...versions, line];
}

function removeVersion(model: Model, version: string): void {
  delete model.versions[version];
  model.serve = model.serve.filter((name) => name !== version);
}

function addTo(
  names: string[],
  name: string,
  reportProblem: ReportProblem,
): void {
  if (names.includes(name)) reportProblem(`'${name}' already exists`);
  else names.push(name);
}

function removeFrom(
  names: string[],
  name: string,
  reportProblem: ReportProblem,
): void {
  const index = names.indexOf(name);
  if (index < 0) reportProblem(`nothing in use has the name '${name}'`);
  else names.splice(index, 1);
}

/**
 * Reports a name that was withdrawn earlier. Reusing it could bring a withdrawn
 * batch back: an instance that is cut off could not tell the two apart.
 */
function forbidWithdrawn(
  catalogue: Catalogue,
  reportProblem: ReportProblem,
  matches: (line: WithdrawnLine) => boolean,
): void {
  const withdrawal = catalogue.withdrawn.find(({ line }) => matches(line));
  if (!withdrawal) return;
  reportProblem(
    `withdrawn for good by note ${withdrawal.number}; use a new name`,
  );
}

function coversOnce(
  sets: readonly { from: number; to: number }[],
  layers: number,
): boolean {
  let nextLayer = 0;
  for (const set of sets) {
    if (set.from !== nextLayer || set.to <= set.from) return false;
    nextLayer = set.to;
  }
  return nextLayer === layers;
}

function emptyModel(): Model {
  return { versions: {}, serve: [], adapters: [] };
}
