/** Finds what any instance remembers of a request. */
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import {
  type RequestRecord,
  type RequestTrace,
  requestRecordSchema,
} from "@rosemarypin/schemas";
import { z } from "zod";
import type { RequestMemory } from "./request_memory.ts";

const METHOD = "request.find";
/** Peers that are asked at a time, so that 340 are no burst. */
const ASKED_TOGETHER = 32;

const questionSchema = z.object({ requestId: z.string().max(64) });
const answerSchema = z.array(requestRecordSchema);

/** Asks this instance and all others. */
export type FindRequest = (requestId: string) => Promise<RequestTrace>;

/**
 * Creates the search. Ids are random, so they do not tell which instance took
 * the request, and an answer that was resumed is known to two of them; only
 * an operator's question causes the calls.
 */
export function createRequestFinder(options: {
  readonly memory: RequestMemory;
  readonly membership: Pick<Membership, "peers">;
  readonly peers: PeerCaller;
}): FindRequest {
  const { memory, membership, peers } = options;

  return async (requestId) => {
    const records: RequestRecord[] = [...memory.find(requestId)];
    const silent: string[] = [];
    const others = membership.peers().filter(({ record }) => !record.left);
    for (let at = 0; at < others.length; at += ASKED_TOGETHER) {
      const together = others.slice(at, at + ASKED_TOGETHER);
      await Promise.all(together.map(({ record }) => ask(record)));
    }
    records.sort((one, other) => one.startedAt - other.startedAt);
    return { requestId, records, silent: silent.sort() };

    async function ask({ id, peer }: (typeof others)[number]["record"]) {
      const params = { requestId };
      const result = await peers.call(peer, METHOD, { params });
      const value = result.kind === "ok" ? result.value : undefined;
      const parsed = answerSchema.safeParse(value);
      if (parsed.success) records.push(...parsed.data);
      else silent.push(id);
    }
  };
}

/** The peers' method that answers such a question. */
export function requestFinderMethods(memory: RequestMemory) {
  return {
    [METHOD]: (params: unknown) =>
      memory.find(questionSchema.parse(params).requestId),
  };
}
