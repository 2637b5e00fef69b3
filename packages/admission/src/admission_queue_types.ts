/** Interfaces of the admission queue. */
import type { AdmissionRequest, Shortage } from "./admission_request.ts";

/** Why a request is refused; it has not run and never will. */
export type RefusalReason =
  | "too_late"
  | "queue_full"
  | "uncovered"
  | "stopped"
  | "caller_left";

export interface AdmissionRefusal {
  readonly kind: "refused";
  readonly reason: RefusalReason;
  readonly waitedMs: number;
  /** Expected wait of the request at the time of its refusal. */
  readonly expectedWaitMs: number;
  /** Cost of the requests that would have been granted before. */
  readonly costAhead: number;
}

export type AdmissionResult<Grant> =
  | {
      readonly kind: "granted";
      readonly grant: Grant;
      readonly waitedMs: number;
    }
  | AdmissionRefusal;

/** Waiting requests of one class. */
export interface WaitingWork {
  readonly requests: number;
  readonly cost: number;
}

export interface AdmissionQueue<Request extends AdmissionRequest, Grant> {
  acquire(request: Request): Promise<AdmissionResult<Grant>>;
  /**
   * Grants capacity to waiting requests as far as there is some; cheap to call
   * often.
   */
  pump(): void;
  /** Waiting requests and their cost, by priority. */
  waiting(): ReadonlyMap<number, WaitingWork>;
  /** Expected wait of a further request of the class, in milliseconds. */
  expectedWaitMs(priority: number, cost: number): number;
  /** Cost granted per second while requests waited; 0 if not observed. */
  costPerSecond(): number;
  /** Refuses all waiting requests, and every request from now on. */
  stop(): void;
}

export interface AdmissionQueueOptions<
  Request extends AdmissionRequest,
  Grant,
> {
  /** Reserves capacity if there is some now. */
  readonly tryGrant: (request: Request) => Grant | Shortage;
  readonly maxRequests: number;
  readonly maxBytes: number;
  /** Priorities of the classes that are known beforehand. */
  readonly priorities?: readonly number[];
  /**
   * Share of the capacity up to which a class is admitted; 1 by default. A
   * request that finds no capacity doesn't block classes with a higher limit.
   */
  readonly loadLimitOf?: (priority: number) => number;
  /**
   * Whether the request waits when it is uncovered, instead of being refused
   * at once; by default started responses do.
   */
  readonly waitsUncovered?: (request: Request) => boolean;
  /**
   * Whether the request avoids engines of its own, so that its lack of
   * capacity says nothing about the requests behind it.
   */
  readonly avoidsEngines?: (request: Request) => boolean;
  /** Requests that a pump may pass over; 4 by default. */
  readonly maxSkipped?: number;
  /** Interval of the pumps while requests wait; 100 ms by default. */
  readonly pumpIntervalMs?: number;
  /** Time within which pumps are merged into one; 10 ms by default. */
  readonly mergePumpsMs?: number;
  /** Called before the waiting requests are tried. */
  readonly beforePump?: () => void;
  /** Called when a request begins (1) or ends (-1) to wait. */
  readonly onWaitingChanged?: (request: Request, change: 1 | -1) => void;
}
