/** What forwarding of all kinds shares. */
export * from "./backend_request.ts";
export * from "./forwarding_parts.ts";
export * from "./retry_budget.ts";
