/** A run that is started while another one goes on, to take its place. */
import { createDeferred } from "@rosemarypin/timing";
import type { CallerCall } from "../callers/mod.ts";
import type { RunSuccessor, StreamRun } from "./stage_recovery.ts";
import type { RunEnd } from "./stream_run.ts";

export interface FollowingRun {
  readonly run: StreamRun;
  readonly end: Promise<RunEnd>;
  /** Resolves to whether an engine has begun it. */
  readonly hasBegun: Promise<boolean>;
  /** Lets its events go to the caller, since the other run has ended. */
  take(): void;
}

/**
 * Starts a run whose events wait until it is taken. Until then it can be given
 * up for the present one.
 */
export function startFollowingRun(
  call: CallerCall,
  options: {
    readonly run: Omit<StreamRun, "successor">;
    readonly hasEnded: RunSuccessor["hasEnded"];
    /** What follows the run once it was taken. */
    readonly successor: () => RunSuccessor;
    /** Runs the call; `onOpened` is called when an engine has begun it. */
    readonly start: (
      run: StreamRun,
      onOpened: () => Promise<void>,
    ) => Promise<RunEnd>;
  },
): FollowingRun {
  const opened = createDeferred<boolean>();
  const taken = createDeferred<void>();
  let successor: RunSuccessor = {
    isAllowed: () => false,
    reserve: async () => true,
    hasEnded: options.hasEnded,
    cancel() {},
  };
  const run: StreamRun = {
    ...options.run,
    get successor() {
      return successor;
    },
  };
  run.stop.signal.addEventListener("abort", () => taken.resolve());
  call.signal.addEventListener("abort", () => taken.resolve(), {
    signal: run.stop.signal,
  });
  const end = options.start(run, async () => {
    opened.resolve(true);
    await taken.promise;
  });
  void end.then(
    () => opened.resolve(false),
    () => opened.resolve(false),
  );
  return {
    run,
    end,
    hasBegun: opened.promise,
    take() {
      successor = options.successor();
      taken.resolve();
    },
  };
}
