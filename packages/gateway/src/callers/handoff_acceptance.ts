/** Whether this instance takes over a request that another one hands off. */
import type {
  AppliedConfiguration,
  ConfigurationKeeper,
} from "../following/mod.ts";
import type { Refusal } from "./call_admission.ts";
import type { HandoffTerms } from "./handoff_headers.ts";

/**
 * Bound on requests in progress for other instances. With more, this instance
 * would be too busy for its own callers.
 */
const MAX_HANDED_OFF_REQUESTS = 256;

export interface HandoffAcceptance {
  /** Counts a request of another instance until it has ended. */
  during(handle: () => Promise<void>): Promise<void>;
  /** Why this instance can't take a request over; `null` if it can. */
  refusalOf(terms: HandoffTerms): Refusal | null;
  /**
   * The configuration that decides whether and how a request is handled:
   * for one that was handed off, one that was in force when it was accepted.
   */
  configurationFor(
    handedOff: HandoffTerms | null,
    receivedAt: number,
  ): AppliedConfiguration | null;
}

/** Creates it for an instance without requests of others. */
export function createHandoffAcceptance({
  keeper,
  isStopping,
}: {
  readonly keeper: ConfigurationKeeper;
  readonly isStopping: () => boolean;
}): HandoffAcceptance {
  let handedOffInProgress = 0;

  return {
    async during(handle) {
      handedOffInProgress += 1;
      await handle();
      handedOffInProgress -= 1;
    },
    refusalOf({ configurationVersion }) {
      if (isStopping()) return { status: 503, reason: "stopping" };
      if (handedOffInProgress > MAX_HANDED_OFF_REQUESTS)
        return { status: 503, reason: "busy" };
      // An older configuration may lack the route or the key of the request.
      const inForce = keeper.applied()?.version ?? 0;
      const isBehind = inForce < configurationVersion;
      return isBehind ? { status: 503, reason: "configuration_behind" } : null;
    },
    configurationFor(handedOff, receivedAt) {
      if (handedOff?.acceptedForMs === undefined) return keeper.applied();
      const { configurationVersion: version, acceptedForMs } = handedOff;
      const acceptedAt = receivedAt - acceptedForMs;
      return keeper.inForceFor({ version, acceptedAt });
    },
  };
}
