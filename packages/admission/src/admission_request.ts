/** What is known of a request that wants capacity on engines. */

/**
 * How a request reached this instance: as a caller's first attempt, as a caller
 * that kept the retry delay, or as one that ignored it.
 */
export type Arrival = "first" | "returning" | "hurried";

/** Times are by `performance.now()`, in milliseconds. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Empty if callers aren't told apart. */
  readonly organisation: string;
  /** Weight of the organisation relative to others of its class; above 0. */
  readonly weight: number;
  /** Expected work in tokens; above 0. */
  readonly cost: number;
  /** Memory that the request occupies while it waits. */
  readonly bytes: number;
  /** Latest start by which the objective can still be met. */
  readonly startBy: number;
  /** Latest start that is still of use to the caller. */
  readonly waitUntil: number;
  readonly arrival: Arrival;
  /** Whether the caller already has a part of the answer. */
  readonly hasBegun: boolean;
  readonly signal: AbortSignal;
}

/**
 * `full`: the engines have no free capacity now. `uncovered`: some layer is held
 * by no usable engine.
 */
export type Shortage = "full" | "uncovered";
