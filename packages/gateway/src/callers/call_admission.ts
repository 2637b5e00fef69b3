/** Which route, service and organisation a request has, or why it is refused. */
import type { IncomingMessage } from "node:http";
import type { Organisation, Route, Service } from "../configuration.ts";
import type { AppliedConfiguration } from "../following/mod.ts";
import type { RequestMetadata } from "../protocol.ts";
import type { CallerCall } from "./caller_call.ts";
import type { HandoffTerms } from "./handoff_headers.ts";

export type Admission = Pick<
  CallerCall,
  "route" | "service" | "organisation" | "configurationVersion"
>;

export interface Refusal {
  readonly status: number;
  readonly reason: string;
}

/** Finds route, service and organisation of a request, or refuses it. */
export function admit(
  request: IncomingMessage,
  options: {
    readonly rawHeaders: readonly string[];
    readonly metadata: RequestMetadata;
    readonly applied: AppliedConfiguration | null;
    readonly handedOff: HandoffTerms | null;
  },
): Admission | Refusal {
  const { rawHeaders, metadata, applied, handedOff } = options;
  if (!applied) return { status: 503, reason: "no_configuration" };
  if (headerBytes(rawHeaders) > applied.limits.headerBytes) {
    return { status: 431, reason: "headers_too_large" };
  }
  const route = applied.table.find(
    request.headers.host ?? "",
    pathOf(request.url ?? "/"),
  );
  if (!route) return { status: 404, reason: "no_route" };
  const organisation = organisationOf(applied, metadata);
  if (!organisation && applied.organisations && !route.isPublic) {
    return { status: 401, reason: "unknown_key" };
  }
  const service = handedOff
    ? sharedService(route, applied.services, handedOff.service)
    : drawService(route, applied.services);
  if (!service) return { status: 503, reason: "no_service" };
  const { version: configurationVersion } = applied;
  return { route, service, organisation, configurationVersion };
}

function organisationOf(
  { organisations }: AppliedConfiguration,
  { key }: RequestMetadata,
): Organisation | null {
  return key === null ? null : (organisations?.get(key) ?? null);
}

/** Returns a service by name if the route still has a share of it. */
function sharedService(
  { shares }: Route,
  services: ReadonlyMap<string, Service>,
  name: string,
): Service | null {
  const hasShare = shares.some(({ service }) => service === name);
  return hasShare ? (services.get(name) ?? null) : null;
}

/** Draws a service at random by the weights of the route's shares. */
function drawService(
  { shares }: Route,
  services: ReadonlyMap<string, Service>,
): Service | null {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = Math.random() * total;
  for (const { service, weight } of shares) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return services.get(service) ?? null;
  }
  return services.get(shares.at(-1)?.service ?? "") ?? null;
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

function headerBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
