/** Judges instances that do not confirm: ended, or only silent. */
import type { Membership } from "@rosemarypin/membership";
import type { InstanceReference, RegistryEntry } from "@rosemarypin/schemas";
import type { ConfirmAnswer } from "./confirmations.ts";
import { LARGEST_RATE_DRIFT, UNLISTED_ALLOWANCE_MS } from "./contact.ts";
import { nameOf } from "./known_instances.ts";
import { type Moment, readMoment, surelyElapsedMs } from "./moment.ts";
import type { InstanceLine } from "./note_status.ts";

/** Ended processes remembered; forgetting one only costs a little waiting. */
const LARGEST_ENDED = 1_000;
/**
 * After this long the end of a process also shows the end of every instance
 * that lived on its word alone.
 */
const END_IS_EVIDENCE_AFTER_MS =
  UNLISTED_ALLOWANCE_MS * (1 + LARGEST_RATE_DRIFT) ** 2;

export interface EvidenceOptions {
  readonly membership: Membership;
  /** Longest allowance of an instance with these settings. */
  readonly allowanceMs: number;
  /** Whether a refusal, or another process at an address, shows an end. */
  readonly refusedConnectionShowsEnd: boolean;
}

/** What is known of the note that an instance does not confirm. */
export interface UnconfirmedNote {
  readonly answer: ConfirmAnswer;
  /** When this instance first knew that the note is recorded. */
  readonly recordedBefore: Moment;
  readonly registry: readonly RegistryEntry[] | null;
}

export interface Evidence {
  /** The line of an instance that said goodbye; `null` if it did not. */
  goodbye(instance: InstanceReference): InstanceLine | null;
  judge(instance: InstanceReference, note: UnconfirmedNote): InstanceLine;
}

/** Creates the judge of one instance. */
export function createEvidence(options: EvidenceOptions): Evidence {
  const { membership } = options;
  /** When a process was first seen to have ended. */
  const endedAt = new Map<string, Moment>();

  function findMember({ id }: InstanceReference) {
    return membership.peers().find(({ record }) => record.id === id);
  }

  function lineOf(instance: InstanceReference) {
    const { id, failureDomain } = instance;
    const applied = findMember(instance)?.record.shared.note ?? 0;
    return { id, failureDomain, applied };
  }

  function foundEnded(
    instance: InstanceReference,
    detail: string,
  ): InstanceLine {
    const name = nameOf(instance);
    const since = endedAt.get(name) ?? readMoment();
    if (endedAt.size > LARGEST_ENDED) endedAt.clear();
    endedAt.set(name, since);
    return ended(instance, { detail, agoMs: surelyElapsedMs(since) });
  }

  /** A process that has ended answers nothing; those it told may, a while. */
  function ended(
    instance: InstanceReference,
    end: { readonly detail: string; readonly agoMs: number },
  ): InstanceLine {
    const line = lineOf(instance);
    if (end.agoMs >= END_IS_EVIDENCE_AFTER_MS) {
      return { ...line, state: "stopped", detail: end.detail };
    }
    const detail = `${end.detail}; what lived on its word alone ends within 3 s`;
    return { ...line, state: "unheard", detail };
  }

  /** Silence excuses nobody until the allowance has surely lapsed. */
  function silent(
    instance: InstanceReference,
    context: { readonly detail: string; readonly note: UnconfirmedNote },
  ): InstanceLine {
    const { recordedBefore, registry } = context.note;
    const allowances = (registry ?? []).map((entry) => entry.allowanceMs);
    const longestMs = Math.max(options.allowanceMs, ...allowances);
    const waitMs = longestMs * (1 + LARGEST_RATE_DRIFT);
    const leftMs = waitMs - surelyElapsedMs(recordedBefore);
    const line = lineOf(instance);
    if (leftMs <= 0) {
      const detail = "silent for longer than it may serve without contact";
      return { ...line, state: "stopped", detail };
    }
    const seconds = Math.ceil(leftMs / 1_000);
    const detail = `no answer (${context.detail}); may serve for ${seconds} s more at most`;
    return { ...line, state: "unheard", detail };
  }

  return {
    goodbye(instance) {
      const member = findMember(instance);
      if (!member?.record.left) return null;
      if (member.record.incarnation !== instance.incarnation) return null;
      const agoMs = performance.now() - member.heardAt;
      return ended(instance, { detail: "said goodbye", agoMs });
    },
    judge(instance, note) {
      const { answer } = note;
      if (options.refusedConnectionShowsEnd) {
        if (answer.kind === "replaced") {
          return foundEnded(instance, "its address has another process");
        }
        if (answer.kind === "refused") {
          return foundEnded(instance, "nothing listens at its address");
        }
      }
      const detail = answer.kind === "unheard" ? answer.detail : answer.kind;
      return silent(instance, { detail, note });
    },
  };
}
