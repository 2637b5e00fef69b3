/** Computes the changes between the catalogues of two notes. */

import type {
  Catalogue,
  Model,
  NoteChange,
  NoteDiff,
  NoteRecord,
} from "@rosemarypin/schemas";

/** Lists the differences between two recorded notes. */
export function diffNotes(from: NoteRecord | null, to: NoteRecord): NoteDiff {
  const before = from?.catalogue ?? { models: {}, services: [], withdrawn: [] };
  const changes = diffCatalogues(before, to.catalogue);
  return { from: from?.number ?? 0, to: to.number, changes };
}

/** Lists the differences between two catalogues. */
export function diffCatalogues(
  before: Catalogue,
  after: Catalogue,
): NoteChange[] {
  const models = union(Object.keys(before.models), Object.keys(after.models));
  return [
    ...models.flatMap((model) => diffModel(model, { before, after })),
    ...diffNames(before.services, after.services).map(
      (difference): NoteChange => ({ kind: "service", ...difference }),
    ),
  ];
}

function diffModel(
  model: string,
  catalogues: { readonly before: Catalogue; readonly after: Catalogue },
): NoteChange[] {
  const before = catalogues.before.models[model] ?? noModel;
  const after = catalogues.after.models[model] ?? noModel;
  const versions = diffNames(
    Object.keys(before.versions),
    Object.keys(after.versions),
  );
  const adapters = diffNames(before.adapters, after.adapters);
  return [
    ...versions.map(
      (difference): NoteChange => ({ kind: "version", model, ...difference }),
    ),
    ...adapters.map(
      (difference): NoteChange => ({ kind: "adapter", model, ...difference }),
    ),
    ...diffServe(model, { before: before.serve, after: after.serve }),
  ];
}

function diffServe(
  model: string,
  serve: { readonly before: string[]; readonly after: string[] },
): NoteChange[] {
  const before = serve.before.join(", ");
  const after = serve.after.join(", ");
  if (before === after) return [];
  return [
    { kind: "serve", model, name: model, change: "changed", before, after },
  ];
}

function diffNames(before: readonly string[], after: readonly string[]) {
  const added = after.filter((name) => !before.includes(name));
  const removed = before.filter((name) => !after.includes(name));
  return [
    ...added.map((name) => ({ name, change: "added" as const })),
    ...removed.map((name) => ({ name, change: "removed" as const })),
  ];
}

function union(a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])];
}

const noModel: Model = { versions: {}, serve: [], adapters: [] };
