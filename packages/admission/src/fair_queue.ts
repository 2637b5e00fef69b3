/**
 * Two-level fair queue of requests: first among lanes by the cost served so
 * far, then among the organisations of a lane. There is a lane for each pair of
 * class and timeliness. It decides for loads that exceed the capacity, in which
 * one class, one organisation or late work could take all of it.
 */
import {
  createFairLane,
  type FairLane,
  type QueueAttributes,
  type QueueTicket,
} from "./fair_lane.ts";

/**
 * Weight of a class relative to the next one while both are backlogged. These
 * are weights and not strict priorities, so that the least urgent requests
 * progress under any load of urgent ones.
 */
const CLASS_RATIO = 4;
/**
 * Weight of a class relative to its late lane. A late response is worth less
 * than one in time, and late work must not keep new work from being in time.
 */
const LATE_RATIO = 8;

/** Restricts which tickets are considered. */
export interface QueueFilter<T> {
  readonly skipped?: ReadonlySet<QueueTicket<T>>;
  /** Whether requests of the class are considered; all if left out. */
  readonly isOpen?: (priority: number) => boolean;
}

/** Queued requests; memory is bounded by their number. */
export interface FairQueue<T> {
  push(item: T, attributes: QueueAttributes): QueueTicket<T>;
  /** Returns the next ticket that the filter admits, without removing it. */
  peek(filter?: QueueFilter<T>): QueueTicket<T> | undefined;
  /** Removes a ticket that is served, and charges its cost. */
  serve(ticket: QueueTicket<T>): void;
  /** Removes a ticket that isn't served; its class is charged nothing. */
  remove(ticket: QueueTicket<T>): void;
  /** Moves requests whose `startBy` is before `now` to the late lanes. */
  moveOverdue(now: number): void;
  /** Cost that would be served before a request with these attributes. */
  workAhead(attributes: QueueAttributes): number;
  /**
   * Queued tickets that a request with these attributes precedes, the last one
   * in order first; all tickets if there are no attributes.
   */
  ticketsBehind(attributes: QueueAttributes | null): Iterable<QueueTicket<T>>;
  length(): number;
}

interface LaneState<T> {
  readonly priority: number;
  readonly isLate: boolean;
  readonly lane: FairLane<T>;
  /** Cost served so far, divided by the weight of the lane. */
  served: number;
}

interface MutableTicket<T> extends QueueTicket<T> {
  isLate: boolean;
}

/**
 * Creates an empty queue. Classes are ranked among all that were seen;
 * `priorities` lists those that are known beforehand.
 */
export function createFairQueue<T>(
  options: { readonly priorities?: readonly number[] } = {},
): FairQueue<T> {
  /** Distinct priorities, the most urgent first. */
  let classes: readonly number[] = [];
  /** By weight, the largest first. */
  let lanes: readonly LaneState<T>[] = [];
  for (const priority of options.priorities ?? []) addClass(priority);

  function addClass(priority: number): void {
    classes = [...classes, priority].sort((a, b) => a - b);
    const added = [false, true].map((isLate) => ({
      priority,
      isLate,
      lane: createFairLane<T>(),
      served: 0,
    }));
    lanes = [...lanes, ...added].sort((a, b) => weightOf(b) - weightOf(a));
  }

  function weightOf({
    priority,
    isLate,
  }: Pick<LaneState<T>, "priority" | "isLate">): number {
    const rank = classes.indexOf(priority);
    return CLASS_RATIO ** -rank / (isLate ? LATE_RATIO : 1);
  }

  function laneOf(priority: number, isLate: boolean): LaneState<T> {
    if (!classes.includes(priority)) addClass(priority);
    const state = lanes.find(
      (candidate) =>
        candidate.priority === priority && candidate.isLate === isLate,
    );
    if (!state) throw new Error(`no lane for priority ${priority}`);
    return state;
  }

  function waitingLanes(): LaneState<T>[] {
    return lanes.filter(({ lane }) => lane.length() > 0);
  }

  function length(): number {
    return lanes.reduce((sum, { lane }) => sum + lane.length(), 0);
  }

  /**
   * Raises the served cost of an empty lane to the lowest one among the
   * backlogged lanes. Otherwise it would get credit for its idle time.
   */
  function activate(state: LaneState<T>): void {
    if (state.lane.length() > 0) return;
    const others = waitingLanes().map(({ served }) => served);
    // With an empty queue, nothing is left to share out.
    if (others.length === 0) for (const lane of lanes) lane.served = 0;
    else state.served = Math.max(state.served, Math.min(...others));
  }

  function insert(ticket: QueueTicket<T>): void {
    const state = laneOf(ticket.attributes.priority, ticket.isLate);
    activate(state);
    state.lane.push(ticket);
  }

  function laneOfTicket(ticket: QueueTicket<T>): LaneState<T> {
    return laneOf(ticket.attributes.priority, ticket.isLate);
  }

  return {
    push(item, attributes) {
      const isLate = attributes.isLate ?? false;
      const ticket: MutableTicket<T> = { item, attributes, isLate };
      insert(ticket);
      return ticket;
    },
    peek({ skipped, isOpen } = {}) {
      let best: QueueTicket<T> | undefined;
      let bestServed = Number.POSITIVE_INFINITY;
      // The lane with the larger weight is kept among equals.
      for (const { lane, priority, served } of lanes) {
        if (served >= bestServed || (isOpen && !isOpen(priority))) continue;
        const ticket = lane.head(skipped);
        if (!ticket) continue;
        best = ticket;
        bestServed = served;
      }
      return best;
    },
    serve(ticket) {
      const state = laneOfTicket(ticket);
      state.served += ticket.attributes.cost / weightOf(state);
      state.lane.serve(ticket);
    },
    remove(ticket) {
      laneOfTicket(ticket).lane.withdraw(ticket);
    },
    moveOverdue(now) {
      for (const { lane, isLate } of lanes) {
        if (isLate || lane.length() === 0) continue;
        for (const ticket of lane.takeOverdue(now)) {
          (ticket as MutableTicket<T>).isLate = true;
          insert(ticket);
        }
      }
    },
    workAhead(attributes) {
      const own = laneOf(attributes.priority, attributes.isLate ?? false);
      const ahead = own.lane.workAhead(attributes);
      const perWeight = (ahead + attributes.cost) / weightOf(own);
      return waitingLanes()
        .filter((state) => state !== own)
        .map((state) =>
          Math.min(state.lane.cost(), perWeight * weightOf(state)),
        )
        .reduce((sum, work) => sum + work, ahead);
    },
    *ticketsBehind(attributes) {
      if (!attributes) {
        for (const { lane } of waitingLanes().reverse())
          yield* lane.fromLast().map(({ ticket }) => ticket);
        return;
      }
      const own = laneOf(attributes.priority, attributes.isLate ?? false);
      const startTag = own.lane.startTagOf(attributes);
      const isHurried = attributes.isHurried ?? false;
      for (const state of waitingLanes().reverse()) {
        if (state !== own && weightOf(state) >= weightOf(own)) return;
        for (const { ticket, startTag: queuedTag } of state.lane.fromLast()) {
          const queued = ticket.attributes;
          const isQueuedHurried = queued.isHurried ?? false;
          const isSameOwner = queued.organisation === attributes.organisation;
          const hasLaterTag =
            queuedTag > startTag || (isSameOwner && queuedTag === startTag);
          const isBehind =
            state !== own ||
            (isQueuedHurried === isHurried ? hasLaterTag : isQueuedHurried);
          if (!isBehind) return;
          yield ticket;
        }
      }
    },
    length,
  };
}
