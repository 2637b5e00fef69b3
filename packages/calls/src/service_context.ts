/** What all parts of one call of a plain service work with. */
import type {
  ServiceAnswer,
  ServiceFleet,
  ServiceRequest,
} from "@rosemarypin/backends";
import type { NoteKeeper } from "@rosemarypin/release";
import type { ServiceServer, ServiceSettings } from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import type { CallFailure } from "./call_failure.ts";
import type { ClaimOwners } from "./claim_owners.ts";
import type { ClaimRegistry } from "./claim_registry.ts";
import type { ClaimStore } from "./claim_store.ts";
import type { EndRecorder } from "./result_recorder.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A call as the callers' interface hands it over. */
export interface ServiceCall {
  readonly requestId: string;
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string | undefined;
  readonly request: ServiceRequest;
  /** When the caller gives up, by `Date.now`. */
  readonly deadlineAt: number;
}

/** The final end of a call. */
export type ServiceCallResult =
  | {
      readonly kind: "answer";
      readonly answer: ServiceAnswer;
      /** Whether the answer is that of an earlier call by the same key. */
      readonly repeated: boolean;
    }
  | { readonly kind: "failed"; readonly failure: CallFailure };

/** What calls need of the rest of the daemon. */
export interface ServiceCallDependencies {
  readonly keeper: Pick<NoteKeeper, "fresh">;
  readonly services: readonly ServiceSettings[];
  readonly fleet: ServiceFleet;
  readonly claims: ClaimStore;
  readonly registry: ClaimRegistry;
  readonly owners: ClaimOwners;
  readonly failureDomain: string;
  readonly metrics?: Metrics;
  /** Goes on after the answer; a planned stop waits for it. */
  readonly ends: Pick<EndRecorder, "record">;
}

/** What the parts of one call share. */
export interface ServiceCallContext extends ServiceCallDependencies {
  readonly service: ServiceSettings;
  readonly budget: RetryBudget;
  /** Servers that may take the call, in the order to try them. */
  readonly servers: () => readonly ServiceServer[];
}

/** The end of a call that got its answer. */
export function answered(
  answer: ServiceAnswer,
  options: { readonly repeated: boolean },
): ServiceCallResult {
  return { kind: "answer", answer, repeated: options.repeated };
}

/** The end of a call that got none. */
export function failed(failure: CallFailure): ServiceCallResult {
  return { kind: "failed", failure };
}
