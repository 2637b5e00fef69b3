/**
 * Decides which waiting request gets capacity next, and which one is refused at
 * once. It addresses overload: a burst of one class, engines that are lost, and
 * refused callers that return. Without it, whichever request asks first gets
 * freed capacity, whatever its class, organisation and deadline.
 */
import type {
  AdmissionQueue,
  AdmissionQueueOptions,
  AdmissionResult,
  RefusalReason,
  WaitingWork,
} from "./admission_queue_types.ts";
import type { AdmissionRequest, Shortage } from "./admission_request.ts";
import type { QueueAttributes, QueueTicket } from "./fair_lane.ts";
import { createFairQueue } from "./fair_queue.ts";
import { createMergedPump } from "./merged_pump.ts";
import { createServiceRate } from "./service_rate.ts";

/**
 * Requests that a pump may pass over because they lack engines that the others
 * don't need. Each costs a failed search.
 */
const MAX_SKIPPED = 4;
const PUMP_INTERVAL_MS = 100;
/**
 * Time within which pumps are merged. A failed search takes up to a millisecond
 * on an instance with a quarter of a core.
 */
const MERGE_PUMPS_MS = 10;
/** Longest delay of the runtime's timers. */
const MAX_TIMER_MS = 2 ** 31 - 1;

interface WaitingRequest<Request, Grant> {
  readonly request: Request;
  readonly enqueuedAt: number;
  /** Position among new responses; `null` for started ones. */
  ticket: QueueTicket<WaitingRequest<Request, Grant>> | null;
  isWaiting: boolean;
  readonly end: (result: AdmissionResult<Grant> | Error) => void;
}

/** Work that precedes a request, and its expected wait. */
interface Estimate {
  readonly costAhead: number;
  readonly expectedWaitMs: number;
}

/** Creates an empty queue. */
export function createAdmissionQueue<Request extends AdmissionRequest, Grant>(
  options: AdmissionQueueOptions<Request, Grant>,
): AdmissionQueue<Request, Grant> {
  type Waiting = WaitingRequest<Request, Grant>;
  const { loadLimitOf = () => 1, avoidsEngines = () => false } = options;
  const waitsUncovered = options.waitsUncovered ?? (({ hasBegun }) => hasBegun);
  const maxSkipped = options.maxSkipped ?? MAX_SKIPPED;
  const queue = createFairQueue<Waiting>(options);
  /** Started responses, in the order of their arrival. */
  const started: Waiting[] = [];
  const rate = createServiceRate();
  const work = new Map<number, WaitingWork>();
  let waitingBytes = 0;
  let isStopped = false;
  /** Highest limit at which the latest pump found no free capacity. */
  let fullLimit = Number.NEGATIVE_INFINITY;
  const pump = createMergedPump({
    run: grantInOrder,
    intervalMs: options.pumpIntervalMs ?? PUMP_INTERVAL_MS,
    minIntervalMs: options.mergePumpsMs ?? MERGE_PUMPS_MS,
  });

  function length(): number {
    return queue.length() + started.length;
  }

  /** Started responses use the capacity that is kept for urgent classes. */
  function limitOf({ hasBegun, priority }: Request): number {
    return hasBegun ? 1 : loadLimitOf(priority);
  }

  function tryGrant(request: Request): Grant | Shortage {
    const result = options.tryGrant(request);
    if (result === "full" && !avoidsEngines(request))
      fullLimit = Math.max(fullLimit, limitOf(request));
    return result;
  }

  /** Whether no waiting request could use the capacity that this one wants. */
  function mayTryAtOnce(request: Request): boolean {
    if (length() === 0) return true;
    if (request.hasBegun) return started.length === 0;
    return limitOf(request) > fullLimit;
  }

  async function acquire(request: Request): Promise<AdmissionResult<Grant>> {
    if (isStopped) return refuse(request, "stopped", 0);
    if (request.signal.aborted) return refuse(request, "caller_left", 0);
    if (mayTryAtOnce(request)) {
      const grant = tryGrant(request);
      if (!isShortage(grant)) {
        const isBacklogged = length() > 0;
        rate.recordGrant(request.cost, { isBacklogged });
        return { kind: "granted", grant, waitedMs: 0 };
      }
      if (grant === "uncovered" && !waitsUncovered(request))
        return refuse(request, "uncovered", 0);
    }
    const now = performance.now();
    const attributes = request.hasBegun ? null : placeOf(request, now);
    const { expectedWaitMs } = estimate(request, attributes);
    const isTooLate = attributes && now + expectedWaitMs > request.waitUntil;
    if (isTooLate || request.waitUntil <= now)
      return refuse(request, "too_late", 0, attributes);
    const victims = findVictims(request, attributes);
    if (!victims) return refuse(request, "queue_full", 0, attributes);
    for (const victim of victims) endWithRefusal(victim, "queue_full");
    return wait(request, attributes, now);
  }

  /**
   * Chooses the lane: requests that can't start in time, and those of returning
   * callers, join the late one.
   */
  function placeOf(request: Request, now: number): QueueAttributes {
    const isHurried = request.arrival === "hurried";
    const attributes = { ...attributesOf(request), isHurried };
    if (request.arrival !== "first") return { ...attributes, isLate: true };
    const { expectedWaitMs } = estimate(request, attributes);
    return { ...attributes, isLate: now + expectedWaitMs > request.startBy };
  }

  function estimate(
    request: Pick<Request, "cost">,
    attributes: QueueAttributes | null,
  ): Estimate {
    const startedCost = started.reduce(
      (sum, waiting) => sum + waiting.request.cost,
      0,
    );
    const costAhead =
      startedCost + (attributes ? queue.workAhead(attributes) : 0);
    const expectedWaitMs = rate.predictWaitMs(costAhead + request.cost);
    return { costAhead, expectedWaitMs };
  }

  /** Requests to drop for a new one; `null` if the new one is refused. */
  function findVictims(
    request: Request,
    attributes: QueueAttributes | null,
  ): Waiting[] | null {
    const victims: Waiting[] = [];
    let requests = length() + 1;
    let bytes = waitingBytes + request.bytes;
    const behind = queue.ticketsBehind(attributes);
    const fits = () =>
      requests <= options.maxRequests && bytes <= options.maxBytes;
    if (fits()) return victims;
    for (const { item } of behind) {
      victims.push(item);
      requests -= 1;
      bytes -= item.request.bytes;
      if (fits()) return victims;
    }
    return null;
  }

  function wait(
    request: Request,
    attributes: QueueAttributes | null,
    enqueuedAt: number,
  ): Promise<AdmissionResult<Grant>> {
    return new Promise((resolve, reject) => {
      const timeoutMs = Math.min(MAX_TIMER_MS, request.waitUntil - enqueuedAt);
      const timer = setTimeout(
        () => endWithRefusal(waiting, "too_late"),
        timeoutMs,
      );
      const onAbort = () => endWithRefusal(waiting, "caller_left");
      request.signal.addEventListener("abort", onAbort, { once: true });
      const waiting: Waiting = {
        request,
        enqueuedAt,
        ticket: null,
        isWaiting: true,
        end(result) {
          clearTimeout(timer);
          request.signal.removeEventListener("abort", onAbort);
          if (result instanceof Error) reject(result);
          else resolve(result);
        },
      };
      if (attributes) waiting.ticket = queue.push(waiting, attributes);
      else started.push(waiting);
      rate.startMeasurement();
      countWaiting(request, 1);
      pump.setActive(true);
    });
  }

  function countWaiting(request: Request, change: 1 | -1): void {
    const { priority, cost, bytes } = request;
    const last = work.get(priority) ?? { requests: 0, cost: 0 };
    const requests = last.requests + change;
    if (requests === 0) work.delete(priority);
    else work.set(priority, { requests, cost: last.cost + change * cost });
    waitingBytes += change * bytes;
    options.onWaitingChanged?.(request, change);
  }

  /** Ends a wait; does nothing if it has ended before. */
  function end(
    waiting: Waiting,
    result: AdmissionResult<Grant> | Error,
    isServed = false,
  ): void {
    if (!waiting.isWaiting) return;
    waiting.isWaiting = false;
    const { ticket } = waiting;
    if (!ticket) started.splice(started.indexOf(waiting), 1);
    else if (isServed) queue.serve(ticket);
    else queue.remove(ticket);
    const isBacklogged = length() > 0;
    if (isServed) rate.recordGrant(waiting.request.cost, { isBacklogged });
    else if (!isBacklogged) rate.endMeasurement();
    if (!isBacklogged) pump.setActive(false);
    countWaiting(waiting.request, -1);
    waiting.end(result);
  }

  function endWithRefusal(waiting: Waiting, reason: RefusalReason): void {
    if (!waiting.isWaiting) return;
    const { request, ticket, enqueuedAt } = waiting;
    const waitedMs = performance.now() - enqueuedAt;
    const attributes = ticket && {
      ...ticket.attributes,
      isLate: ticket.isLate,
    };
    const result = refuse(request, reason, waitedMs, attributes);
    end(waiting, result);
  }

  function refuse(
    request: Request,
    reason: RefusalReason,
    waitedMs: number,
    attributes = request.hasBegun ? null : attributesOf(request),
  ): AdmissionResult<Grant> {
    const estimated = estimate(request, attributes);
    return { kind: "refused", reason, waitedMs, ...estimated };
  }

  /** Tries the waiting requests in order, until one finds no capacity. */
  function grantInOrder(): void {
    options.beforePump?.();
    fullLimit = Number.NEGATIVE_INFINITY;
    let skippedCount = 0;
    for (const waiting of [...started]) {
      if (attempt(waiting) !== "passed_over") continue;
      skippedCount += 1;
      if (fullLimit >= limitOf(waiting.request)) return;
      if (skippedCount > maxSkipped) return;
    }
    queue.moveOverdue(performance.now());
    const skipped = new Set<QueueTicket<Waiting>>();
    const isOpen = (priority: number) => loadLimitOf(priority) > fullLimit;
    while (skippedCount <= maxSkipped) {
      const ticket = queue.peek({ skipped, isOpen });
      if (!ticket) return;
      if (attempt(ticket.item) !== "passed_over") continue;
      skipped.add(ticket);
      if (isOpen(ticket.attributes.priority)) skippedCount += 1;
    }
  }

  /** Grants or refuses a waiting request, or leaves it in its place. */
  function attempt(waiting: Waiting): "ended" | "passed_over" {
    const { request, enqueuedAt } = waiting;
    if (!waiting.isWaiting) return "ended";
    try {
      const grant = tryGrant(request);
      if (!isShortage(grant)) {
        const waitedMs = performance.now() - enqueuedAt;
        end(waiting, { kind: "granted", grant, waitedMs }, true);
        return "ended";
      }
      if (grant === "full" || waitsUncovered(request)) return "passed_over";
      endWithRefusal(waiting, "uncovered");
    } catch (error) {
      // The fault concerns one request and must not end the others' wait.
      const fault = error instanceof Error ? error : new Error(String(error));
      end(waiting, fault);
    }
    return "ended";
  }

  return {
    acquire,
    pump: pump.request,
    waiting: () => work,
    expectedWaitMs(priority, cost) {
      const attributes = { organisation: "", weight: 1, priority, cost };
      return estimate({ cost }, attributes).expectedWaitMs;
    },
    costPerSecond: rate.costPerSecond,
    stop() {
      isStopped = true;
      for (const waiting of [...started]) endWithRefusal(waiting, "stopped");
      for (;;) {
        const ticket = queue.peek();
        if (!ticket) return;
        endWithRefusal(ticket.item, "stopped");
      }
    },
  };
}

function attributesOf(request: AdmissionRequest): QueueAttributes {
  const { organisation, weight, priority, cost, startBy } = request;
  return { organisation, weight, priority, cost, startBy };
}

function isShortage(result: unknown): result is Shortage {
  return result === "full" || result === "uncovered";
}
