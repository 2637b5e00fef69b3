/** Idempotent calls, which are retried on other servers. */
import { failedRun, notRun } from "./call_failure.ts";
import {
  answered,
  failed,
  type ServiceCall,
  type ServiceCallContext,
  type ServiceCallResult,
} from "./service_context.ts";
import { logServerFailure } from "./service_log.ts";

const RETRY_AFTER_SECONDS = 1;

/**
 * Sends the call to one server after another until one answers, within the
 * deadline and the retry budget.
 */
export async function runIdempotent(
  call: ServiceCall,
  context: ServiceCallContext,
): Promise<ServiceCallResult> {
  const { service, budget, fleet } = context;
  let mayHaveRun = false;
  let attempts = 0;
  budget.countCall();
  for (const server of context.servers()) {
    const leftMs = call.deadlineAt - Date.now();
    if (leftMs <= 0) break;
    if (attempts > 0 && !budget.take()) break;
    attempts += 1;
    const result = await fleet.send(server, call.request, {
      timeoutMs: Math.min(service.timeoutMs, leftMs),
    });
    if (result.kind === "answer") {
      return answered(result.answer, { repeated: false });
    }
    mayHaveRun ||= result.kind === "broken";
    logServerFailure(call, { server: server.id, result });
  }
  const message = `no server of '${call.service}' answered; retry the call`;
  const retryAfterSeconds = RETRY_AFTER_SECONDS;
  return failed(
    mayHaveRun
      ? failedRun("no_answer", { message, retryAfterSeconds })
      : notRun("no_server", { message, retryAfterSeconds }),
  );
}
