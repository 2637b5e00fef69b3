/** Log lines that calls of plain services share. */
import type { ServiceResult } from "@rosemarypin/backends";
import { createLogger } from "@rosemarypin/telemetry";
import type { ServiceCall } from "./service_context.ts";

const log = createLogger("service");

/** A server did not answer a call. */
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

/** A claim could not be made durable, so its call was not sent. */
export function logClaimFailure(call: ServiceCall, reason: string): void {
  log.warn("claim_failed", { request: call.requestId, reason });
}

/** The end of a call is still not recorded. */
export function logSettleFailure(requestId: string, tries: number): void {
  log.warn("claim_not_settled", { request: requestId, tries });
}
