/** Types that the modules for calls of plain services share. */
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
import type { ResultRecorder } from "./result_recorder.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** A call as received from the callers' interface. */
export interface ServiceCall {
  readonly requestId: string;
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string | undefined;
  readonly request: ServiceRequest;
  /** Deadline of the caller in Unix milliseconds. */
  readonly deadlineAt: number;
}

/** The final result of a call. */
export type ServiceCallResult =
  | {
      readonly kind: "answer";
      readonly answer: ServiceAnswer;
      /** Whether the answer belongs to an earlier call with the same key. */
      readonly repeated: boolean;
    }
  | { readonly kind: "failed"; readonly failure: CallFailure };

/** Components of the daemon that calls use. */
export interface ServiceCallDependencies {
  readonly keeper: Pick<NoteKeeper, "fresh">;
  readonly services: readonly ServiceSettings[];
  readonly fleet: ServiceFleet;
  readonly claims: ClaimStore;
  readonly registry: ClaimRegistry;
  readonly owners: ClaimOwners;
  readonly failureDomain: string;
  readonly metrics?: Metrics;
  /** Records results in the background; a planned stop waits for it. */
  readonly resultRecorder: Pick<ResultRecorder, "record">;
}

/** State that the modules share for one call. */
export interface ServiceCallContext extends ServiceCallDependencies {
  readonly service: ServiceSettings;
  readonly budget: RetryBudget;
  /** Returns the servers for the call in order of preference. */
  readonly servers: () => readonly ServiceServer[];
}

/** Result of a call that a server answered. */
export function answered(
  answer: ServiceAnswer,
  options: { readonly repeated: boolean },
): ServiceCallResult {
  return { kind: "answer", answer, repeated: options.repeated };
}

/** Result of a call without an answer. */
export function failed(failure: CallFailure): ServiceCallResult {
  return { kind: "failed", failure };
}
