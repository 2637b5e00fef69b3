/**
 * Requests that wait, in the order of fair shares: first among priority
 * classes, then among the organisations of a class. Both levels use start
 * tags (start-time fair queueing): an organisation that has just been served
 * gets a later tag, so a large one cannot starve a small one.
 */
import { type Priority, prioritySchema } from "@rosemarypin/schemas";

/**
 * Shares of the classes while all wait. They are not strict, so that batch
 * work goes on, slowly, however much urgent work there is.
 */
const classWeights: Readonly<Record<Priority, number>> = {
  interactive: 16,
  standard: 4,
  batch: 1,
};

/** Old tags that may stay until it is worth looking for them. */
const SPARE_TAGS = 64;

/** What decides a request's place. */
export interface QueueFacts {
  readonly organisation: string;
  /** Share of the organisation relative to others of its class. */
  readonly weight: number;
  readonly priority: Priority;
  /** Expected work, in tokens. */
  readonly cost: number;
}

/** A request that waits. */
export interface QueueTicket<T> {
  readonly item: T;
  readonly facts: QueueFacts;
  readonly startTag: number;
}

/** Holds waiting requests; memory is bounded by their number. */
export interface FairQueue<T> {
  push(item: T, facts: QueueFacts): QueueTicket<T>;
  /** The ticket whose turn it is, but for those in `skipped`; it stays. */
  peek(skipped?: ReadonlySet<QueueTicket<T>>): QueueTicket<T> | undefined;
  /** Takes a ticket out because it was served; its cost is charged. */
  serve(ticket: QueueTicket<T>): void;
  /** Takes a ticket out without charging it. */
  remove(ticket: QueueTicket<T>): void;
  /** Work that would be served before a request with these facts. */
  workAhead(facts: QueueFacts): number;
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
    if (!state) throw new Error(`there is no class '${priority}'`);
    return state;
  }

  function waitingClasses(): ClassState<T>[] {
    return [...classes.values()].filter(({ tickets }) => tickets.length > 0);
  }

  /**
   * A class that was empty starts level with the one that is furthest behind.
   * Without that it could claim the time during which it asked for nothing.
   */
  function activate(state: ClassState<T>): void {
    if (state.tickets.length > 0) return;
    const others = waitingClasses().map(({ served }) => served);
    if (others.length > 0) {
      state.served = Math.max(state.served, Math.min(...others));
    }
  }

  function startTagOf(state: ClassState<T>, facts: QueueFacts): number {
    const finish = state.finishTags.get(facts.organisation) ?? 0;
    return Math.max(state.virtualTime, finish);
  }

  function takeOut(ticket: QueueTicket<T>): ClassState<T> {
    const state = classOf(ticket.facts.priority);
    const index = state.tickets.indexOf(ticket);
    if (index >= 0) state.tickets.splice(index, 1);
    return state;
  }

  /** Tags that the virtual time has passed no longer say anything. */
  function forgetOldTags(state: ClassState<T>): void {
    if (state.tickets.length === 0) {
      state.finishTags.clear();
      return;
    }
    const isTidy =
      state.finishTags.size < 2 * state.tickets.length + SPARE_TAGS;
    if (isTidy) return;
    for (const [organisation, finish] of state.finishTags) {
      if (finish <= state.virtualTime) state.finishTags.delete(organisation);
    }
  }

  return {
    push(item, facts) {
      const state = classOf(facts.priority);
      activate(state);
      const startTag = startTagOf(state, facts);
      const finishTag = startTag + facts.cost / facts.weight;
      state.finishTags.set(facts.organisation, finishTag);
      const ticket = { item, facts, startTag };
      const later = state.tickets.findIndex(
        (other) => other.startTag > startTag,
      );
      const index = later < 0 ? state.tickets.length : later;
      state.tickets.splice(index, 0, ticket);
      return ticket;
    },
    peek(skipped) {
      const firsts = [...classes.values()]
        .map((state) => ({
          served: state.served,
          ticket: state.tickets.find((ticket) => !skipped?.has(ticket)),
        }))
        .filter(({ ticket }) => ticket !== undefined);
      // `reduce` keeps the more urgent class among equals.
      return firsts.reduce<(typeof firsts)[number] | undefined>(
        (best, next) => (best && best.served <= next.served ? best : next),
        undefined,
      )?.ticket;
    },
    serve(ticket) {
      const state = takeOut(ticket);
      state.virtualTime = Math.max(state.virtualTime, ticket.startTag);
      state.served += ticket.facts.cost / state.weight;
      forgetOldTags(state);
    },
    remove(ticket) {
      forgetOldTags(takeOut(ticket));
    },
    workAhead(facts) {
      const own = classOf(facts.priority);
      const startTag = startTagOf(own, facts);
      const ahead = sumCost(
        own.tickets.filter((ticket) => ticket.startTag <= startTag),
      );
      const others = waitingClasses()
        .filter((state) => state !== own)
        .map((state) => {
          const share = ((ahead + facts.cost) * state.weight) / own.weight;
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
  return tickets.reduce((sum, { facts }) => sum + facts.cost, 0);
}
