/** Orders the servers of a plain service for a call. */
import type { ServiceSettings } from "@rosemarypin/schemas";

type ServiceServer = ServiceSettings["servers"][number];

/**
 * Returns the servers in the order to try them: those of this instance's
 * failure domain first. `turn` rotates the list for round-robin.
 */
export function orderServers(
  service: ServiceSettings,
  options: { readonly failureDomain: string; readonly turn: number },
): readonly ServiceServer[] {
  const { servers } = service;
  const offset = options.turn % servers.length;
  const rotated = [...servers.slice(offset), ...servers.slice(0, offset)];
  const isInOwnDomain = (server: ServiceServer) =>
    server.failureDomain === options.failureDomain;
  return [
    ...rotated.filter(isInOwnDomain),
    ...rotated.filter((server) => !isInOwnDomain(server)),
  ];
}
