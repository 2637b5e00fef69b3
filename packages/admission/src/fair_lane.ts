/**
 * Queued requests of one lane, ordered between organisations by start tags
 * (start-time fair queueing). An organisation that has just been served gets a
 * later tag, so a large organisation cannot starve a small one. Within an
 * organisation, the request with the earliest `startBy` comes first.
 */

/** Finish tags kept beyond two per ticket before stale ones are pruned. */
const SPARE_FINISH_TAGS = 64;

/** Attributes of a request that determine its position. */
export interface QueueAttributes {
  readonly organisation: string;
  /** Weight of the organisation relative to others of its class. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected work, in tokens. */
  readonly cost: number;
  /** Latest start in time, by `performance.now()`; never late if left out. */
  readonly startBy?: number;
  /** Whether the request belongs to the late lane of its class. */
  readonly isLate?: boolean;
  /** Whether the request comes behind all others of its late lane. */
  readonly isHurried?: boolean;
}

/** A queued request. */
export interface QueueTicket<T> {
  readonly item: T;
  readonly attributes: QueueAttributes;
  /** Whether the ticket is in the late lane of its class. */
  readonly isLate: boolean;
}

/** A ticket and the start tag that it will be served with. */
export interface TaggedTicket<T> {
  readonly ticket: QueueTicket<T>;
  readonly startTag: number;
}

export interface FairLane<T> {
  push(ticket: QueueTicket<T>): void;
  /** The next ticket that isn't in `skipped`. */
  head(skipped?: ReadonlySet<QueueTicket<T>>): QueueTicket<T> | undefined;
  /** Removes a ticket and charges its cost to the organisation. */
  serve(ticket: QueueTicket<T>): void;
  /**
   * Removes a ticket that isn't served, and charges its cost to the
   * organisation nevertheless. Otherwise an organisation that asks for far more
   * than its share, and lets its requests time out, gets the tags of one that
   * asks for little.
   */
  withdraw(ticket: QueueTicket<T>): void;
  /** Cost in this lane that precedes a request with these attributes. */
  workAhead(attributes: QueueAttributes): number;
  /** Tag of a request with these attributes if it were pushed now. */
  startTagOf(attributes: QueueAttributes): number;
  /** Removes and returns the tickets whose `startBy` is before `now`. */
  takeOverdue(now: number): QueueTicket<T>[];
  /** All tickets, the last one in order first. */
  fromLast(): TaggedTicket<T>[];
  /** Sum of the costs of all tickets. */
  cost(): number;
  length(): number;
}

/** Tickets of one organisation, in the order in which they are served. */
interface Flow<T> {
  readonly tickets: QueueTicket<T>[];
  /** Start tag of the first ticket. */
  tag: number;
}

/** Creates an empty lane. */
export function createFairLane<T>(): FairLane<T> {
  const flows = new Map<string, Flow<T>>();
  /** Finish tags of organisations that are ahead of the virtual time. */
  const finishTags = new Map<string, number>();
  let virtualTime = 0;
  let count = 0;
  let totalCost = 0;

  function baseTagOf(organisation: string): number {
    const flow = flows.get(organisation);
    if (flow) return flow.tag;
    return Math.max(virtualTime, finishTags.get(organisation) ?? 0);
  }

  function costBefore(attributes: QueueAttributes): number {
    const tickets = flows.get(attributes.organisation)?.tickets ?? [];
    return tickets
      .filter((ticket) => !precedes(attributes, ticket.attributes))
      .reduce((sum, ticket) => sum + ticket.attributes.cost, 0);
  }

  function startTagOf(attributes: QueueAttributes): number {
    const ahead = costBefore(attributes) / attributes.weight;
    return baseTagOf(attributes.organisation) + ahead;
  }

  function remove(ticket: QueueTicket<T>, flow: Flow<T>): void {
    const { organisation, cost } = ticket.attributes;
    flow.tickets.splice(flow.tickets.indexOf(ticket), 1);
    count -= 1;
    totalCost -= cost;
    if (flow.tickets.length === 0) {
      flows.delete(organisation);
      finishTags.set(organisation, flow.tag);
    }
    prune();
  }

  function flowOf(ticket: QueueTicket<T>): Flow<T> | null {
    const flow = flows.get(ticket.attributes.organisation);
    return flow?.tickets.includes(ticket) ? flow : null;
  }

  /** Removes finish tags below the virtual time, which have no effect. */
  function prune(): void {
    if (count === 0) {
      finishTags.clear();
      virtualTime = 0;
      totalCost = 0;
    }
    if (finishTags.size < 2 * count + SPARE_FINISH_TAGS) return;
    for (const [organisation, finish] of finishTags) {
      if (finish <= virtualTime) finishTags.delete(organisation);
    }
  }

  return {
    push(ticket) {
      const { organisation, cost } = ticket.attributes;
      const flow = flows.get(organisation) ?? {
        tickets: [],
        tag: baseTagOf(organisation),
      };
      flows.set(organisation, flow);
      finishTags.delete(organisation);
      const laterIndex = flow.tickets.findIndex((queued) =>
        precedes(ticket.attributes, queued.attributes),
      );
      const index = laterIndex < 0 ? flow.tickets.length : laterIndex;
      flow.tickets.splice(index, 0, ticket);
      count += 1;
      totalCost += cost;
    },
    head(skipped) {
      let best: QueueTicket<T> | undefined;
      let bestTag = Number.POSITIVE_INFINITY;
      for (const { tickets, tag } of flows.values()) {
        const ticket = tickets.find((queued) => !skipped?.has(queued));
        if (!ticket) continue;
        const isHurried = ticket.attributes.isHurried ?? false;
        const isBestHurried = best?.attributes.isHurried ?? false;
        const isBetter =
          isHurried === isBestHurried ? tag < bestTag : isBestHurried;
        if (best && !isBetter) continue;
        best = ticket;
        bestTag = tag;
      }
      return best;
    },
    serve(ticket) {
      const flow = flowOf(ticket);
      if (!flow) return;
      virtualTime = Math.max(virtualTime, flow.tag);
      charge(ticket, flow);
      remove(ticket, flow);
    },
    withdraw(ticket) {
      const flow = flowOf(ticket);
      if (!flow) return;
      charge(ticket, flow);
      remove(ticket, flow);
    },
    workAhead(attributes) {
      const startTag = startTagOf(attributes);
      let ahead = costBefore(attributes);
      for (const [organisation, { tickets, tag }] of flows) {
        if (organisation === attributes.organisation) continue;
        let ticketTag = tag;
        for (const { attributes: queued } of tickets) {
          const isBehind = queued.isHurried && !attributes.isHurried;
          const isAhead = attributes.isHurried && !queued.isHurried;
          if (isBehind || (!isAhead && ticketTag > startTag)) break;
          ahead += queued.cost;
          ticketTag += queued.cost / queued.weight;
        }
      }
      return ahead;
    },
    startTagOf,
    takeOverdue(now) {
      const overdue: QueueTicket<T>[] = [];
      for (const flow of [...flows.values()]) {
        for (const ticket of [...flow.tickets]) {
          if ((ticket.attributes.startBy ?? Infinity) >= now) break;
          remove(ticket, flow);
          overdue.push(ticket);
        }
      }
      return overdue;
    },
    fromLast() {
      const tagged = [...flows.values()].flatMap(({ tickets, tag }) => {
        let startTag = tag;
        return tickets.map((ticket) => {
          const entry = { ticket, startTag };
          startTag += ticket.attributes.cost / ticket.attributes.weight;
          return entry;
        });
      });
      return tagged.reverse().sort((a, b) => {
        const isHurried = (entry: TaggedTicket<T>) =>
          Number(entry.ticket.attributes.isHurried ?? false);
        return isHurried(b) - isHurried(a) || b.startTag - a.startTag;
      });
    },
    cost: () => totalCost,
    length: () => count,
  };
}

function charge<T>({ attributes }: QueueTicket<T>, flow: Flow<T>): void {
  flow.tag += attributes.cost / attributes.weight;
}

/** Whether a new request precedes a queued one of the same organisation. */
function precedes(request: QueueAttributes, queued: QueueAttributes): boolean {
  const isHurried = request.isHurried ?? false;
  if (isHurried !== (queued.isHurried ?? false)) return !isHurried;
  return (request.startBy ?? Infinity) < (queued.startBy ?? Infinity);
}
