/** Dependencies of forwarding plain calls and streams. */
import type { RetryBudget } from "@rosemarypin/limits";
import type { BackendExchange, BackendFleet } from "../backends/mod.ts";
import type { RefusalParts } from "../callers/mod.ts";
import type { AnswerBuffers } from "./answer_buffers.ts";

export interface ForwardingParts extends RefusalParts {
  readonly exchange: BackendExchange;
  readonly fleet: BackendFleet;
  readonly budget: RetryBudget;
  readonly answerBuffers: AnswerBuffers;
  /** Resolves to whether no process listens at a server's address. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
}
