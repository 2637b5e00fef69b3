/** Log events for calls of plain services. */
import type { ServiceResult } from "@rosemarypin/backends";
import { createLogger } from "@rosemarypin/telemetry";
import type { ServiceCall } from "./service_context.ts";

const log = createLogger("service");

/** Logs that a server did not answer a call. */
export function logServerFailure(
  call: ServiceCall,
  options: {
    readonly server: string;
    readonly result: Exclude<ServiceResult, { kind: "answer" }>;
  },
): void {
  log.warn("server_failed", {
    request: call.requestId,
    server: options.server,
    kind: options.result.kind,
    reason: options.result.detail,
  });
}

/** Logs that a call was not sent because its claim is not durable. */
export function logClaimFailure(call: ServiceCall, reason: string): void {
  log.warn("claim_failed", { request: call.requestId, reason });
}

/** Logs that an attempt to record the result of a call failed. */
export function logRecordFailure(requestId: string, tries: number): void {
  log.warn("claim_not_settled", { request: requestId, tries });
}
