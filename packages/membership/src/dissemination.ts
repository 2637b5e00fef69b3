/** Chooses which records go along with a datagram. */
import type { MemberNews } from "@rosemarypin/schemas";
import type { ByteBudget } from "./byte_budget.ts";
import type { MemberTable } from "./member_table.ts";

/** Records that one datagram carries besides what it is for. */
const BYTES_ALONG = 400;

/** How often a record is sent on before others are left to spread it. */
export type Urgency = "liveness" | "shared_state";

export interface Dissemination {
  /** Marks a record as changed. */
  enqueue(id: string, urgency: Urgency): void;
  /** Records for the next datagram, those sent least often first. */
  take(): MemberNews[];
}

/** Creates the queue of records that changed lately. */
export function createDissemination(options: {
  readonly table: MemberTable;
  readonly budgets: Readonly<Record<Urgency, ByteBudget>>;
}): Dissemination {
  const { table, budgets } = options;
  /** One entry for each record at most. */
  const queue = new Map<string, { left: number; urgency: Urgency }>();

  /**
   * News that each holder sends on about log(n) times reaches all with high
   * probability. Shared state goes once and leaves the rest to the syncs, so
   * that a note change of the whole fleet costs little.
   */
  function sends(urgency: Urgency): number {
    if (urgency === "shared_state") return 1;
    return 4 * Math.ceil(Math.log10(table.size() + 2));
  }

  return {
    enqueue(id, urgency) {
      const before = queue.get(id);
      if (before?.urgency === "liveness" && urgency !== "liveness") return;
      queue.set(id, { left: sends(urgency), urgency });
    },
    take() {
      const chosen: MemberNews[] = [];
      let room = BYTES_ALONG;
      for (const [id, entry] of mostLeftFirst()) {
        const sized = table.sized(id);
        if (!sized) {
          queue.delete(id);
          continue;
        }
        if (sized.bytes > room) break;
        if (!budgets[entry.urgency].take(sized.bytes)) break;
        room -= sized.bytes;
        chosen.push(sized.news);
        entry.left -= 1;
        if (entry.left === 0) queue.delete(id);
      }
      return chosen;
    },
  };

  function mostLeftFirst() {
    return [...queue].sort(([, a], [, b]) => b.left - a.left);
  }
}
