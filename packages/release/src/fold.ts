/** Folds a note into the catalogue that the notes before it led to. */
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

export type FoldResult =
  | { readonly kind: "ok"; readonly catalogue: Catalogue }
  | { readonly kind: "invalid"; readonly problems: readonly NoteProblem[] };

/** Collects problems of the line that is being applied. */
type Complain = (message: string) => void;

/** Applies `note` as number `number`; the base stays as it is. */
export function foldNote(
  base: Catalogue,
  note: ReleaseNote,
  options: { readonly number: number },
): FoldResult {
  const { number } = options;
  const catalogue = structuredClone(base);
  const problems: NoteProblem[] = [];
  const complainAt =
    (line: string): Complain =>
    (message) =>
      problems.push({ line, message });

  note.added.forEach((line, index) => {
    addLine(catalogue, line, {
      number,
      complain: complainAt(`added[${index}]`),
    });
  });
  note.withdrawn.forEach((line, index) => {
    const complain = complainAt(`withdrawn[${index}]`);
    const lines = withdrawLine(catalogue, line, { complain });
    for (const gone of lines) {
      catalogue.withdrawn.push({ line: gone, number, reason: note.reason });
    }
  });
  note.changed.forEach((line, index) => {
    changeLine(catalogue, line, complainAt(`changed[${index}]`));
  });
  return problems.length > 0
    ? { kind: "invalid", problems }
    : { kind: "ok", catalogue };
}

function addLine(
  catalogue: Catalogue,
  line: AddedLine,
  options: { readonly number: number; readonly complain: Complain },
): void {
  const { number, complain } = options;
  if (line.kind === "service") {
    addTo(catalogue.services, line.service, complain);
    forbidWithdrawn(
      catalogue,
      complain,
      (old) => old.kind === "service" && old.service === line.service,
    );
    return;
  }
  const model = catalogue.models[line.model] ?? emptyModel();
  catalogue.models[line.model] = model;
  if (line.kind === "adapter") {
    addTo(model.adapters, line.adapter, complain);
    forbidWithdrawn(
      catalogue,
      complain,
      (old) =>
        old.kind === "adapter" &&
        old.model === line.model &&
        old.adapter === line.adapter,
    );
    return;
  }
  const { version, layers, layerSets } = line;
  if (model.versions[version])
    complain(`version '${version}' is there already`);
  if (!coversOnce(layerSets, layers)) {
    complain(`layerSets must cover layers 0 to ${layers} once each, in order`);
  }
  forbidWithdrawn(
    catalogue,
    complain,
    (old) =>
      (old.kind === "version" &&
        old.model === line.model &&
        old.version === version) ||
      (old.kind === "layerSet" &&
        old.model === line.model &&
        layerSets.some((set) => set.name === old.layerSet)),
  );
  model.versions[version] = { version, layers, layerSets, addedBy: number };
  if (line.serve) model.serve.unshift(version);
  else model.serve.push(version);
}

function changeLine(
  catalogue: Catalogue,
  line: ChangedLine,
  complain: Complain,
): void {
  const model = catalogue.models[line.model];
  if (!model) {
    complain(`no model '${line.model}'; add a version of it first`);
    return;
  }
  for (const version of line.serve) {
    if (!model.versions[version]) {
      complain(`no version '${version}' of '${line.model}' may answer`);
    }
  }
  model.serve = [...line.serve];
}

/**
 * Takes a batch out; returns all that is withdrawn with it. A layer set takes
 * versions with it, whose names must not come back either: a cut-off instance
 * and the engines know a version by its name only.
 */
function withdrawLine(
  catalogue: Catalogue,
  line: WithdrawnLine,
  options: { readonly complain: Complain },
): readonly WithdrawnLine[] {
  const { complain } = options;
  if (line.kind === "service") {
    removeFrom(catalogue.services, line.service, complain);
    return [line];
  }
  const model = catalogue.models[line.model];
  if (!model) {
    complain(`no model '${line.model}' to withdraw from`);
    return [line];
  }
  if (line.kind === "adapter") {
    removeFrom(model.adapters, line.adapter, complain);
    return [line];
  }
  const gone = Object.values(model.versions).filter((version) =>
    line.kind === "version"
      ? version.version === line.version
      : version.layerSets.some((set) => set.name === line.layerSet),
  );
  if (gone.length === 0) complain("nothing that answers now has that name");
  for (const { version } of gone) removeVersion(model, version);
  if (line.kind === "version") return [line];
  const versions = gone.map(
    ({ version }): WithdrawnLine => ({
      kind: "version",
      model: line.model,
      version,
    }),
  );
  // The operator's own line comes last: explanations name the last one.
  return [...versions, line];
}

function removeVersion(model: Model, version: string): void {
  delete model.versions[version];
  model.serve = model.serve.filter((name) => name !== version);
}

function addTo(names: string[], name: string, complain: Complain): void {
  if (names.includes(name)) complain(`'${name}' is there already`);
  else names.push(name);
}

function removeFrom(names: string[], name: string, complain: Complain): void {
  const index = names.indexOf(name);
  if (index < 0) complain(`nothing that answers now has the name '${name}'`);
  else names.splice(index, 1);
}

/**
 * A withdrawn batch must never answer again, so its name is not given out a
 * second time: a cut-off instance could not tell the two apart.
 */
function forbidWithdrawn(
  catalogue: Catalogue,
  complain: Complain,
  matches: (line: WithdrawnLine) => boolean,
): void {
  const old = catalogue.withdrawn.find(({ line }) => matches(line));
  if (!old) return;
  complain(`withdrawn for good by note ${old.number}; use a new name`);
}

function coversOnce(
  sets: readonly { from: number; to: number }[],
  layers: number,
): boolean {
  let next = 0;
  for (const set of sets) {
    if (set.from !== next || set.to <= set.from) return false;
    next = set.to;
  }
  return next === layers;
}

function emptyModel(): Model {
  return { versions: {}, serve: [], adapters: [] };
}
