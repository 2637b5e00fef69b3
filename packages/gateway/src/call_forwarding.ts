/** Decides how a call is forwarded, and whether one that was handed off is. */
import type { RetryBudget } from "@rosemarypin/limits";
import type { BackendFleet } from "./backends/mod.ts";
import {
  type CallEnd,
  type CallerCall,
  endWithRefusal,
} from "./callers/mod.ts";
import { type ForwardParts, forwardPlain } from "./plain/mod.ts";
import { forwardStream, type StreamParts } from "./streams/mod.ts";

/** Creates the function that forwards the calls of this instance's callers. */
export function createCallForwarding(parts: {
  readonly budget: RetryBudget;
  readonly fleet: BackendFleet;
  readonly plain: ForwardParts;
  readonly streams: StreamParts;
}): (call: CallerCall) => Promise<CallEnd> {
  const { budget, fleet, plain, streams } = parts;

  /** Why a request that was handed off can't be sent; `null` if it can. */
  async function reasonToDecline({
    service,
    handedOff,
  }: CallerCall): Promise<string | null> {
    if (await fleet.reachability.settled(service.name)) return "cut_off";
    if (!handedOff?.takesRetry) return null;
    const retry = budget.takeRetry(service.name);
    retry?.send();
    return retry ? null : "no_retry_left";
  }

  return async (call) => {
    const reason = call.handedOff && (await reasonToDecline(call));
    if (reason) {
      const outcome = "not_run";
      return endWithRefusal(plain, call, { outcome, reason, attempts: 0 });
    }
    // The instance that handed it off has counted the request.
    if (!call.handedOff) budget.countRequest(call.service.name);
    return call.service.engine
      ? forwardStream(call, streams)
      : forwardPlain(call, plain);
  };
}
