/**
 * Two-level fair queue of requests: first among priority classes by the cost
 * served so far, then among the organisations of a class by start tags
 * (start-time fair queueing). An organisation that has just been served gets a
 * later tag, so a large organisation cannot starve a small one.
 */
import { type Priority, prioritySchema } from "@rosemarypin/schemas";

/**
 * Shares of the classes while all of them are backlogged. These are weights
 * and not strict priorities, so that batch requests progress under any load of
 * urgent ones.
 */
const classWeights: Readonly<Record<Priority, number>> = {
  interactive: 16,
  standard: 4,
  batch: 1,
};

/** Finish tags kept beyond two per ticket before stale ones are pruned. */
const SPARE_FINISH_TAGS = 64;

/** Attributes of a request that determine its position. */
export interface QueueAttributes {
  readonly organisation: string;
  /** Weight of the organisation relative to others of its class. */
  readonly weight: number;
  readonly priority: Priority;
  /** Expected work, in tokens. */
  readonly cost: number;
}

/** A queued request. */
export interface QueueTicket<T> {
  readonly item: T;
  readonly attributes: QueueAttributes;
  readonly startTag: number;
}

/** Queued requests; memory is bounded by their number. */
export interface FairQueue<T> {
  push(item: T, attributes: QueueAttributes): QueueTicket<T>;
  /** Returns the next ticket not in `skipped`, without removing it. */
  peek(skipped?: ReadonlySet<QueueTicket<T>>): QueueTicket<T> | undefined;
  /** Removes a ticket that is served, and charges its cost. */
  serve(ticket: QueueTicket<T>): void;
  /** Removes a ticket without charging its cost. */
  remove(ticket: QueueTicket<T>): void;
  /** Cost that would be served before a request with these attributes. */
  workAhead(attributes: QueueAttributes): number;
  length(): number;
}

interface ClassState<T> {
  readonly weight: number;
  /** Sorted by start tag; equal tags keep the order of arrival. */
  readonly tickets: QueueTicket<T>[];
  /** Finish tags of organisations that are ahead of the virtual time. */
  readonly finishTags: Map<string, number>;
  virtualTime: number;
  /** Cost served so far, divided by the weight of the class. */
  served: number;
}

/** Creates an empty queue. */
export function createFairQueue<T>(): FairQueue<T> {
  const classes = new Map<Priority, ClassState<T>>(
    prioritySchema.options.map((priority) => [
      priority,
      {
        weight: classWeights[priority],
        tickets: [],
        finishTags: new Map(),
        virtualTime: 0,
        served: 0,
      },
    ]),
  );

  function classOf(priority: Priority): ClassState<T> {
    const state = classes.get(priority);
    if (!state) throw new Error(`unknown priority class '${priority}'`);
    return state;
  }

  function waitingClasses(): ClassState<T>[] {
    return [...classes.values()].filter(({ tickets }) => tickets.length > 0);
  }

  /**
   * Raises the served cost of an empty class to the lowest one among the
   * backlogged classes. Otherwise it would get credit for its idle time.
   */
  function activate(state: ClassState<T>): void {
    if (state.tickets.length > 0) return;
    const others = waitingClasses().map(({ served }) => served);
    if (others.length > 0) {
      state.served = Math.max(state.served, Math.min(...others));
    }
  }

  function startTagOf(
    state: ClassState<T>,
    attributes: QueueAttributes,
  ): number {
    const finish = state.finishTags.get(attributes.organisation) ?? 0;
    return Math.max(state.virtualTime, finish);
  }

  function removeTicket(ticket: QueueTicket<T>): ClassState<T> {
    const state = classOf(ticket.attributes.priority);
    const index = state.tickets.indexOf(ticket);
    if (index >= 0) state.tickets.splice(index, 1);
    return state;
  }

  /** Removes finish tags below the virtual time, which have no effect. */
  function pruneFinishTags(state: ClassState<T>): void {
    if (state.tickets.length === 0) {
      state.finishTags.clear();
      return;
    }
    const isSmall =
      state.finishTags.size < 2 * state.tickets.length + SPARE_FINISH_TAGS;
    if (isSmall) return;
    for (const [organisation, finish] of state.finishTags) {
      if (finish <= state.virtualTime) state.finishTags.delete(organisation);
    }
  }

  return {
    push(item, attributes) {
      const state = classOf(attributes.priority);
      activate(state);
      const startTag = startTagOf(state, attributes);
      const finishTag = startTag + attributes.cost / attributes.weight;
      state.finishTags.set(attributes.organisation, finishTag);
      const ticket = { item, attributes, startTag };
      const laterIndex = state.tickets.findIndex(
        (queued) => queued.startTag > startTag,
      );
      const index = laterIndex < 0 ? state.tickets.length : laterIndex;
      state.tickets.splice(index, 0, ticket);
      return ticket;
    },
    peek(skipped) {
      const heads = [...classes.values()]
        .map((state) => ({
          served: state.served,
          ticket: state.tickets.find((ticket) => !skipped?.has(ticket)),
        }))
        .filter(({ ticket }) => ticket !== undefined);
      // `reduce` keeps the more urgent class among equals.
      return heads.reduce<(typeof heads)[number] | undefined>(
        (best, next) => (best && best.served <= next.served ? best : next),
        undefined,
      )?.ticket;
    },
    serve(ticket) {
      const state = removeTicket(ticket);
      state.virtualTime = Math.max(state.virtualTime, ticket.startTag);
      state.served += ticket.attributes.cost / state.weight;
      pruneFinishTags(state);
    },
    remove(ticket) {
      pruneFinishTags(removeTicket(ticket));
    },
    workAhead(attributes) {
      const ownClass = classOf(attributes.priority);
      const startTag = startTagOf(ownClass, attributes);
      const ahead = sumCost(
        ownClass.tickets.filter((ticket) => ticket.startTag <= startTag),
      );
      const others = waitingClasses()
        .filter((state) => state !== ownClass)
        .map((state) => {
          const share =
            ((ahead + attributes.cost) * state.weight) / ownClass.weight;
          return Math.min(sumCost(state.tickets), share);
        });
      return others.reduce((sum, work) => sum + work, ahead);
    },
    length: () =>
      [...classes.values()].reduce(
        (sum, { tickets }) => sum + tickets.length,
        0,
      ),
  };
}

function sumCost<T>(tickets: readonly QueueTicket<T>[]): number {
  return tickets.reduce((sum, { attributes }) => sum + attributes.cost, 0);
}
