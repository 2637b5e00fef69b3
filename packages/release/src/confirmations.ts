/** What this instance confirms, and how it asks the others. */
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
import { digestOf, listKnown } from "./known_instances.ts";
import type { NoteKeeper } from "./note_keeper.ts";

export interface ConfirmerOptions {
  readonly membership: Membership;
  readonly keeper: NoteKeeper;
  /** Engines that this instance orders now. */
  readonly engines: () => readonly EngineConfirmation[];
}

export interface Confirmer {
  /** Answers `note.confirm`; without parameters, for itself. */
  confirm(params?: unknown): NoteConfirmation;
  known(): readonly InstanceReference[];
}

/**
 * Creates the confirmer of one instance. To apply a note is to confirm it:
 * applying cuts the answers that the note no longer allows before it returns,
 * and a lower note is never taken up again by the same process.
 */
export function createConfirmer(options: ConfirmerOptions): Confirmer {
  const { membership, keeper } = options;

  function known(): readonly InstanceReference[] {
    return listKnown(membership, { askers: keeper.askers() });
  }

  return {
    known,
    confirm(params) {
      const { id, failureDomain, incarnation } = membership.self();
      const list = known();
      const asked = confirmRequestSchema.safeParse(params);
      const isKnown =
        asked.success && asked.data.knownDigest === digestOf(list);
      return {
        instance: id,
        failureDomain,
        incarnation,
        applied: keeper.applied()?.number ?? 0,
        ...(isKnown ? {} : { knows: [...list] }),
        engines: [...options.engines()],
      };
    },
  };
}

/** How an instance answered when it was asked to confirm. */
export type ConfirmAnswer =
  | { readonly kind: "confirmed"; readonly confirmation: NoteConfirmation }
  /** Another process answers at the address: the one named has ended. */
  | { readonly kind: "replaced"; readonly confirmation: NoteConfirmation }
  | { readonly kind: "refused" }
  /** Silence, or an answer that cannot be read, shows nothing. */
  | { readonly kind: "unheard"; readonly detail: string };

/** Asks one instance to confirm. */
export async function askToConfirm(
  instance: InstanceReference,
  options: { readonly peers: PeerCaller; readonly request: ConfirmRequest },
): Promise<ConfirmAnswer> {
  const result = await options.peers.call(instance.peer, "note.confirm", {
    params: options.request,
  });
  return classify(result, instance);
}

function classify(
  result: PeerResult,
  instance: InstanceReference,
): ConfirmAnswer {
  if (result.kind === "refused") return { kind: "refused" };
  if (result.kind !== "ok") return { kind: "unheard", detail: result.kind };
  const parsed = noteConfirmationSchema.safeParse(result.value);
  if (!parsed.success) return { kind: "unheard", detail: "unreadable answer" };
  const confirmation = parsed.data;
  const isSame =
    confirmation.instance === instance.id &&
    confirmation.incarnation === instance.incarnation;
  return { kind: isSame ? "confirmed" : "replaced", confirmation };
}
