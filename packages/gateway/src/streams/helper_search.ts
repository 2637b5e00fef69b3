/** The search of a call for an answer through another instance. */
import type { CallerCall } from "../callers/mod.ts";
import { attemptsForHelper } from "../handoff/mod.ts";
import type { AvoidedEngines } from "./avoided_engines.ts";
import {
  type BegunAnswer,
  beginOnHelper,
  type HelperRequest,
  type HelperRunEnd,
} from "./helper_run.ts";
import type { StreamParts, StreamProgress } from "./stream_run.ts";

/** Time after which a call asks again whether another instance can serve it. */
const HELPER_RETRY_MS = 300;

export interface HelperSearch {
  /** Whether the call may be handed off, and not just was in vain. */
  mayAsk(): boolean;
  /** Asks other instances for an answer with so many runs at most. */
  ask(
    runsAllowed: number,
    request: Pick<HelperRequest, "takesRetry" | "signal">,
  ): Promise<{
    readonly end: BegunAnswer | HelperRunEnd;
    /** Runs that the helper may have used. */
    readonly runs: number;
  }>;
  /** Lets the call ask again at once. */
  reset(): void;
}

/** Creates the search of one call. */
export function createHelperSearch(
  call: CallerCall,
  options: {
    readonly progress: StreamProgress;
    readonly parts: StreamParts;
    readonly failedServers: Set<string>;
    readonly avoided: AvoidedEngines;
  },
): HelperSearch {
  const { progress, parts, failedServers, avoided } = options;
  const usedHelpers = new Set<string>();
  let askedAt = -Infinity;

  return {
    mayAsk() {
      if (call.handedOff) return false;
      return performance.now() - askedAt >= HELPER_RETRY_MS;
    },
    async ask(runsAllowed, request) {
      askedAt = performance.now();
      const runs = attemptsForHelper(runsAllowed, call.route.resumable);
      const end = await beginOnHelper(call, {
        progress,
        parts,
        maxAttempts: runs,
        usedHelpers,
        failedServers,
        ...request,
      });
      for (const id of failedServers) avoided.add(id);
      return { end, runs };
    },
    reset() {
      askedAt = -Infinity;
    },
  };
}
