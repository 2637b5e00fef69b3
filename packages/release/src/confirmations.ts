/** Confirms the applied note and requests confirmations from peers. */
import type {
  Membership,
  PeerCaller,
  PeerResult,
} from "@rosemarypin/membership";
import {
  type ConfirmRequest,
  confirmRequestSchema,
  type EngineConfirmation,
  type InstanceReference,
  type NoteConfirmation,
  noteConfirmationSchema,
} from "@rosemarypin/schemas";
import { digestInstances, listKnownInstances } from "./known_instances.ts";
import type { NoteKeeper } from "./note_keeper.ts";

export interface ConfirmerOptions {
  readonly membership: Membership;
  readonly keeper: NoteKeeper;
  /** Engines to which this instance sends orders now. */
  readonly engines: () => readonly EngineConfirmation[];
}

export interface Confirmer {
  /**
   * Answers `note.confirm`. Lists the instances known here unless `params`
   * holds the digest of the same list.
   */
  confirm(params?: unknown): NoteConfirmation;
  /** Instances that may still serve, as far as this instance knows. */
  knownInstances(): readonly InstanceReference[];
}

/**
 * Creates the confirmer of one instance. An applied note counts as confirmed:
 * the keeper has cut the answers that the note no longer allows before it
 * reports the number, and a process never returns to a lower note.
 */
export function createConfirmer(options: ConfirmerOptions): Confirmer {
  const { membership, keeper } = options;

  function knownInstances(): readonly InstanceReference[] {
    return listKnownInstances(membership, { requesters: keeper.requesters() });
  }

  return {
    knownInstances,
    confirm(params) {
      const { id, failureDomain, incarnation } = membership.self();
      const instances = knownInstances();
      const request = confirmRequestSchema.safeParse(params);
      const hasSameDigest =
        request.success &&
        request.data.knownDigest === digestInstances(instances);
      return {
        instance: id,
        failureDomain,
        incarnation,
        applied: keeper.applied()?.number ?? 0,
        ...(hasSameDigest ? {} : { knows: [...instances] }),
        engines: [...options.engines()],
      };
    },
  };
}

/** The outcome of requesting a confirmation from an instance. */
export type ConfirmAnswer =
  | { readonly kind: "confirmed"; readonly confirmation: NoteConfirmation }
  /** Another process answered at the address, so the named one has ended. */
  | { readonly kind: "replaced"; readonly confirmation: NoteConfirmation }
  /** The connection was refused. */
  | { readonly kind: "refused" }
  /** No answer, or an unreadable one; the process may still be running. */
  | { readonly kind: "no_answer"; readonly detail: string };

/** Requests the confirmation of one instance. */
export async function requestConfirmation(
  instance: InstanceReference,
  options: { readonly peers: PeerCaller; readonly request: ConfirmRequest },
): Promise<ConfirmAnswer> {
  const result = await options.peers.call(instance.peer, "note.confirm", {
    params: options.request,
  });
  return classifyReply(result, instance);
}

function classifyReply(
  result: PeerResult,
  instance: InstanceReference,
): ConfirmAnswer {
  if (result.kind === "refused") return { kind: "refused" };
  if (result.kind !== "ok") return { kind: "no_answer", detail: result.kind };
  const parsed = noteConfirmationSchema.safeParse(result.value);
  if (!parsed.success)
    return { kind: "no_answer", detail: "unreadable answer" };
  const confirmation = parsed.data;
  const isSame =
    confirmation.instance === instance.id &&
    confirmation.incarnation === instance.incarnation;
  return { kind: isSame ? "confirmed" : "replaced", confirmation };
}
