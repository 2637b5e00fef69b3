/** Chooses a server of a plain service. */
import type { ServiceSettings } from "@rosemarypin/schemas";

type ServiceServer = ServiceSettings["servers"][number];

/** Servers to try, the own failure domain first, the rest in turn. */
export function orderServers(
  service: ServiceSettings,
  options: { readonly failureDomain: string; readonly turn: number },
): readonly ServiceServer[] {
  const { servers } = service;
  const offset = options.turn % servers.length;
  const rotated = [...servers.slice(offset), ...servers.slice(0, offset)];
  const isNear = (server: ServiceServer) =>
    server.failureDomain === options.failureDomain;
  return [
    ...rotated.filter(isNear),
    ...rotated.filter((server) => !isNear(server)),
  ];
}
