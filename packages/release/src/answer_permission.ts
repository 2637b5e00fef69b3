/** Decides what a note allows; checked for every request. */

import type { Catalogue, ModelVersion, NoteRecord } from "@rosemarypin/schemas";

/** The decision for one request; `number` is the note that withdrew it. */
export type Permission =
  | { readonly kind: "allowed"; readonly version: ModelVersion }
  | {
      readonly kind: "withdrawn";
      readonly number: number;
      readonly reason: string;
    }
  | { readonly kind: "unknown"; readonly what: string };

/**
 * Chooses the version that answers new requests for a model and adapter: the
 * first in the note's order of preference whose layers are loaded on engines.
 * While a newly added version is being loaded, the next allowed one answers.
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
  // A single version is chosen without the cost of `isLoaded`.
  const loaded = versions.length > 1 ? versions.find(isLoaded) : undefined;
  const version = loaded ?? versions[0];
  if (version) return { kind: "allowed", version };
  return refuseModel(catalogue, request.model);
}

/** Whether a running answer of a version and adapter may continue. */
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

/** Decides whether a service may be called. */
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
    ? { kind: "withdrawn", ...numberAndReasonOf(withdrawal) }
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
    ? { kind: "withdrawn", ...numberAndReasonOf(withdrawal) }
    : { kind: "unknown", what: `adapter '${adapter}' of model '${model}'` };
}

function refuseModel(catalogue: Catalogue, model: string): Permission {
  const withdrawal = catalogue.withdrawn.findLast(
    ({ line }) => line.kind !== "service" && line.model === model,
  );
  return withdrawal
    ? { kind: "withdrawn", ...numberAndReasonOf(withdrawal) }
    : { kind: "unknown", what: `model '${model}'` };
}

function numberAndReasonOf(withdrawal: { number: number; reason: string }) {
  return { number: withdrawal.number, reason: withdrawal.reason };
}
