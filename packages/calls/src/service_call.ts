/** Entry point for calls of plain services. */
import { orderServers } from "@rosemarypin/routing";
import { runAtMostOnce } from "./at_most_once_call.ts";
import { badCall, type CallFailure } from "./call_failure.ts";
import { runIdempotent } from "./idempotent_call.ts";
import { createRetryBudget, type RetryBudget } from "./retry_budget.ts";
import {
  failed,
  type ServiceCall,
  type ServiceCallContext,
  type ServiceCallDependencies,
  type ServiceCallResult,
} from "./service_context.ts";
import { checkReleaseNote, findRule } from "./service_rules.ts";

/**
 * Creates the function that runs calls. Idempotent calls may be retried;
 * others are sent at most once.
 */
export function createServiceCaller(dependencies: ServiceCallDependencies) {
  const { failureDomain, fleet } = dependencies;
  const startedAt = performance.now();
  const budgets = new Map<string, RetryBudget>();
  let turn = 0;

  function budgetOf(service: string): RetryBudget {
    const budget = budgets.get(service) ?? createRetryBudget(startedAt);
    budgets.set(service, budget);
    return budget;
  }

  return async (call: ServiceCall): Promise<ServiceCallResult> => {
    const refusal = await checkReleaseNote(call.service, dependencies.keeper);
    if (refusal) return failed(refusal);
    const service = dependencies.services.find(
      ({ name }) => name === call.service,
    );
    const rule = service && findRule(service, call.request);
    if (!service || !rule) return failed(unknownCallFailure(call));
    turn += 1;
    const ordered = orderServers(service, { failureDomain, turn });
    const context: ServiceCallContext = {
      ...dependencies,
      service,
      budget: budgetOf(service.name),
      servers: () => fleet.choose(ordered),
    };
    return rule.idempotent
      ? runIdempotent(call, context)
      : runAtMostOnce(call, context);
  };
}

function unknownCallFailure(call: ServiceCall): CallFailure {
  const { method, path } = call.request;
  return badCall("unknown_call", {
    message: `the settings of '${call.service}' define no call ${method} ${path}`,
    status: 404,
  });
}
