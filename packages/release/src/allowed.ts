/** What a note allows: the question each request asks. */
import type { Catalogue, ModelVersion, NoteRecord } from "@rosemarypin/schemas";

/** The answer for one request, with the note that decided. */
export type Permission =
  | { readonly kind: "allowed"; readonly version: ModelVersion }
  | {
      readonly kind: "withdrawn";
      readonly number: number;
      readonly reason: string;
    }
  | { readonly kind: "unknown"; readonly what: string };

/**
 * The version that answers new requests for a model and adapter: the first in
 * the note's order of preference whose layers engines hold. A version that a
 * note has just added is still being loaded; until it is, the next one that
 * the note allows answers, instead of nobody.
 */
export function permitAnswer(
  record: NoteRecord,
  request: { readonly model: string; readonly adapter: string | undefined },
  options: { readonly isLoaded?: (version: ModelVersion) => boolean } = {},
): Permission {
  const { catalogue } = record;
  const model = catalogue.models[request.model];
  if (request.adapter !== undefined) {
    const refusal = refuseAdapter(catalogue, request.model, request.adapter);
    if (refusal) return refusal;
  }
  const versions = (model?.serve ?? []).flatMap(
    (name) => model?.versions[name] ?? [],
  );
  const { isLoaded = () => true } = options;
  // With one version there is nothing to choose, and no need to look.
  const loaded = versions.length > 1 ? versions.find(isLoaded) : undefined;
  const version = loaded ?? versions[0];
  if (version) return { kind: "allowed", version };
  return refuseModel(catalogue, request.model);
}

/** Whether answers of a version with an adapter may go on. */
export function mayContinue(
  record: NoteRecord,
  answer: {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string | undefined;
  },
): boolean {
  const model = record.catalogue.models[answer.model];
  if (!model?.versions[answer.version]) return false;
  return (
    answer.adapter === undefined || model.adapters.includes(answer.adapter)
  );
}

/** Whether a plain service may be called. */
export function permitService(
  record: NoteRecord,
  service: string,
): Permission | { readonly kind: "service" } {
  const { catalogue } = record;
  if (catalogue.services.includes(service)) return { kind: "service" };
  const withdrawal = catalogue.withdrawn.find(
    ({ line }) => line.kind === "service" && line.service === service,
  );
  return withdrawal
    ? { kind: "withdrawn", ...pick(withdrawal) }
    : { kind: "unknown", what: `service '${service}'` };
}

function refuseAdapter(
  catalogue: Catalogue,
  model: string,
  adapter: string,
): Permission | null {
  if (catalogue.models[model]?.adapters.includes(adapter)) return null;
  const withdrawal = catalogue.withdrawn.find(
    ({ line }) =>
      line.kind === "adapter" &&
      line.model === model &&
      line.adapter === adapter,
  );
  return withdrawal
    ? { kind: "withdrawn", ...pick(withdrawal) }
    : { kind: "unknown", what: `adapter '${adapter}' of model '${model}'` };
}

function refuseModel(catalogue: Catalogue, model: string): Permission {
  const withdrawal = catalogue.withdrawn.findLast(
    ({ line }) => line.kind !== "service" && line.model === model,
  );
  return withdrawal
    ? { kind: "withdrawn", ...pick(withdrawal) }
    : { kind: "unknown", what: `model '${model}'` };
}

function pick(withdrawal: { number: number; reason: string }) {
  return { number: withdrawal.number, reason: withdrawal.reason };
}
