/** Asks other instances what became of the calls they claimed. */
import type {
  ClaimOwners,
  ClaimRegistry,
  OwnerReply,
} from "@rosemarypin/calls";
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import {
  type ClaimObject,
  type ClaimQuestion,
  claimQuestionSchema,
  claimStatusSchema,
} from "@rosemarypin/schemas";

const METHOD = "claim.ask";
/** How long an answer may take beyond the wait that was asked for. */
const REPLY_MS = 500;

export interface PeerClaimOwnersOptions {
  readonly id: string;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly registry: ClaimRegistry;
}

/** Creates the way to all owners; this instance answers itself. */
export function createPeerClaimOwners(
  options: PeerClaimOwnersOptions,
): ClaimOwners {
  const { membership, peers, registry } = options;

  async function askPeer(
    owner: string,
    question: ClaimQuestion,
  ): Promise<OwnerReply> {
    const member = membership.peers().find(({ record }) => record.id === owner);
    if (!member || member.record.left) return { kind: "process_ended" };
    const result = await peers.call(member.record.peer, METHOD, {
      params: question,
      timeoutMs: question.waitMs + REPLY_MS,
    });
    if (result.kind === "refused") return { kind: "process_ended" };
    if (result.kind !== "ok") return { kind: "no_reply" };
    const parsed = claimStatusSchema.safeParse(result.value);
    return parsed.success ? parsed.data : { kind: "no_reply" };
  }

  return {
    ask(claim: ClaimObject, { waitMs }) {
      const { owner, incarnation, requestId } = claim;
      const question = { incarnation, requestId, waitMs };
      return owner === options.id
        ? registry.ask(question)
        : askPeer(owner, question);
    },
  };
}

/** The peers' method that answers such questions. */
export function claimOwnerMethods(registry: ClaimRegistry) {
  return {
    [METHOD]: (params: unknown) =>
      registry.ask(claimQuestionSchema.parse(params)),
  };
}
