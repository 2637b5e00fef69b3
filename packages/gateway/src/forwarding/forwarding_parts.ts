/** Dependencies of forwarding plain calls and streams. */
import type { BackendExchange, BackendFleet } from "../backends/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import type { RetryBudget } from "./retry_budget.ts";

export interface ForwardingParts {
  readonly codec: RequestCodec;
  readonly exchange: BackendExchange;
  readonly fleet: BackendFleet;
  readonly budget: RetryBudget;
}
