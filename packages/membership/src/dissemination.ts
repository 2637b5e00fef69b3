/** Chooses the records that are piggybacked on a datagram. */
import type { MemberNews } from "@rosemarypin/schemas";
import type { ByteBudget } from "./byte_budget.ts";
import type { MemberTable } from "./member_table.ts";

/** Maximum size of the records that are piggybacked on one datagram. */
const MAX_PIGGYBACK_BYTES = 400;

/** Kind of a change, which decides how often its record is sent. */
export type Urgency = "liveness" | "shared_state";

export interface Dissemination {
  /** Queues the record of a member that has changed. */
  enqueue(id: string, urgency: Urgency): void;
  /** Records for the next datagram, those with the most sends left first. */
  take(): MemberNews[];
}

/** Creates an empty queue of changed records. */
export function createDissemination(options: {
  readonly table: MemberTable;
  readonly budgets: Readonly<Record<Urgency, ByteBudget>>;
}): Dissemination {
  const { table, budgets } = options;
  /** Sends left and urgency of each changed record, by member id. */
  const queue = new Map<string, { sendsLeft: number; urgency: Urgency }>();

  /**
   * Number of times that a record is sent. News that each receiver forwards
   * about log(n) times reaches all with high probability. Shared state is sent
   * once and otherwise left to table syncs, so that a note change of the whole
   * fleet causes little traffic.
   */
  function transmissionLimit(urgency: Urgency): number {
    if (urgency === "shared_state") return 1;
    return 4 * Math.ceil(Math.log10(table.size() + 2));
  }

  return {
    enqueue(id, urgency) {
      const queued = queue.get(id);
      if (queued?.urgency === "liveness" && urgency !== "liveness") return;
      queue.set(id, { sendsLeft: transmissionLimit(urgency), urgency });
    },
    take() {
      const chosen: MemberNews[] = [];
      let bytesLeft = MAX_PIGGYBACK_BYTES;
      for (const [id, entry] of leastSentFirst()) {
        const sized = table.sized(id);
        if (!sized) {
          queue.delete(id);
          continue;
        }
        if (sized.bytes > bytesLeft) break;
        if (!budgets[entry.urgency].take(sized.bytes)) break;
        bytesLeft -= sized.bytes;
        chosen.push(sized.news);
        entry.sendsLeft -= 1;
        if (entry.sendsLeft === 0) queue.delete(id);
      }
      return chosen;
    },
  };

  function leastSentFirst() {
    return [...queue].sort(([, a], [, b]) => b.sendsLeft - a.sendsLeft);
  }
}
