/** Decides whether an instance that does not confirm a note has stopped. */
import type { Membership } from "@rosemarypin/membership";
import type { InstanceReference, RegistryEntry } from "@rosemarypin/schemas";
import type { ConfirmAnswer } from "./confirmations.ts";
import { MAX_CLOCK_DRIFT, UNLISTED_ALLOWANCE_MS } from "./contact.ts";
import { processNameOf } from "./known_instances.ts";
import { type Moment, readMoment, surelyElapsedMs } from "./moment.ts";
import type { InstanceLine } from "./note_status.ts";

/** Limit of `endedAt`. A dropped entry only restarts its waiting time. */
const MAX_ENDED_PROCESSES = 1_000;
/**
 * Time from the end of a process until every unlisted instance that got its
 * note from that process alone has stopped serving.
 */
const UNLISTED_EXPIRY_MS = UNLISTED_ALLOWANCE_MS * (1 + MAX_CLOCK_DRIFT) ** 2;

export interface InstanceLivenessOptions {
  readonly membership: Membership;
  /** The contact allowance that the collecting instance is configured with. */
  readonly allowanceMs: number;
  /**
   * Whether a refused connection, or another process at the address, proves
   * that the named process has ended.
   */
  readonly refusedConnectionShowsEnd: boolean;
}

/** What is known about an instance that has not confirmed a note. */
export interface UnconfirmedInstance {
  readonly answer: ConfirmAnswer;
  /**
   * When the collecting instance learned of the note, which was recorded before
   * that.
   */
  readonly learnedAt: Moment;
  /** The store's list of instances; `null` if it has not been read. */
  readonly registry: readonly RegistryEntry[] | null;
}

export interface InstanceLiveness {
  /** Describes an instance that left the membership; `null` if it has not. */
  describeLeft(instance: InstanceReference): InstanceLine | null;
  /** Describes an instance that did not confirm the note. */
  describeUnconfirmed(
    instance: InstanceReference,
    unconfirmed: UnconfirmedInstance,
  ): InstanceLine;
}

/** Creates the liveness checks that one instance makes about others. */
export function createInstanceLiveness(
  options: InstanceLivenessOptions,
): InstanceLiveness {
  const { membership } = options;
  /** When each process was first seen to have ended, by its name. */
  const endedAt = new Map<string, Moment>();

  function findMember({ id }: InstanceReference) {
    return membership.peers().find(({ record }) => record.id === id);
  }

  function baseLineOf(instance: InstanceReference) {
    const { id, failureDomain } = instance;
    const applied = findMember(instance)?.record.shared.note ?? 0;
    return { id, failureDomain, applied };
  }

  function recordEnd(
    instance: InstanceReference,
    detail: string,
  ): InstanceLine {
    const name = processNameOf(instance);
    const firstSeenAt = endedAt.get(name) ?? readMoment();
    if (endedAt.size > MAX_ENDED_PROCESSES) endedAt.clear();
    endedAt.set(name, firstSeenAt);
    return describeEnded(instance, {
      detail,
      endedForMs: surelyElapsedMs(firstSeenAt),
    });
  }

  /**
   * Reports an ended process as stopped only after `UNLISTED_EXPIRY_MS`: until
   * then an unlisted instance may still serve from a note that it got there.
   */
  function describeEnded(
    instance: InstanceReference,
    end: { readonly detail: string; readonly endedForMs: number },
  ): InstanceLine {
    const line = baseLineOf(instance);
    if (end.endedForMs >= UNLISTED_EXPIRY_MS) {
      return { ...line, state: "stopped", detail: end.detail };
    }
    const detail = `${end.detail}; instances that only it could name stop within 3 s`;
    return { ...line, state: "unheard", detail };
  }

  /**
   * Reports an instance that does not answer as stopped only after the longest
   * contact allowance has elapsed since the collecting instance learned of the
   * note.
   */
  function describeSilent(
    instance: InstanceReference,
    context: {
      readonly detail: string;
      readonly unconfirmed: UnconfirmedInstance;
    },
  ): InstanceLine {
    const { learnedAt, registry } = context.unconfirmed;
    const allowances = (registry ?? []).map((entry) => entry.allowanceMs);
    const longestMs = Math.max(options.allowanceMs, ...allowances);
    const waitMs = longestMs * (1 + MAX_CLOCK_DRIFT);
    const leftMs = waitMs - surelyElapsedMs(learnedAt);
    const line = baseLineOf(instance);
    if (leftMs <= 0) {
      const detail = "no answer for longer than its contact allowance";
      return { ...line, state: "stopped", detail };
    }
    const seconds = Math.ceil(leftMs / 1_000);
    const detail = `no answer (${context.detail}); may serve for ${seconds} s more at most`;
    return { ...line, state: "unheard", detail };
  }

  return {
    describeLeft(instance) {
      const member = findMember(instance);
      if (!member?.record.left) return null;
      if (member.record.incarnation !== instance.incarnation) return null;
      const endedForMs = performance.now() - member.heardAt;
      return describeEnded(instance, {
        detail: "left the membership",
        endedForMs,
      });
    },
    describeUnconfirmed(instance, unconfirmed) {
      const { answer } = unconfirmed;
      if (options.refusedConnectionShowsEnd) {
        if (answer.kind === "replaced") {
          return recordEnd(instance, "another process answers at its address");
        }
        if (answer.kind === "refused") {
          return recordEnd(instance, "nothing listens at its address");
        }
      }
      const detail = answer.kind === "no_answer" ? answer.detail : answer.kind;
      return describeSilent(instance, { detail, unconfirmed });
    },
  };
}
