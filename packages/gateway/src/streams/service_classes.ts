/** Classes of the requests that a configuration lets reach a service. */
import { classOf } from "@rosemarypin/admission";
import type { Configuration } from "../configuration.ts";

/** Classes of a service by its routes and the organisations, in order. */
export function classesOfService(
  { routes, organisations }: Pick<Configuration, "routes" | "organisations">,
  service: string,
): number[] {
  const overrides = [...(organisations?.values() ?? [])].map(
    ({ priority }) => priority,
  );
  const ownRoutes = routes.filter(({ shares }) =>
    shares.some((share) => share.service === service),
  );
  if (ownRoutes.length === 0) return [];
  const isRouteDecisive = ({ isPublic }: { readonly isPublic: boolean }) =>
    isPublic || organisations === null || overrides.includes(null);
  const priorities = [
    ...ownRoutes.filter(isRouteDecisive).map(({ priority }) => priority),
    ...overrides.flatMap((priority) => priority ?? []),
  ];
  return [...new Set(priorities.map(classOf))].sort((a, b) => a - b);
}
