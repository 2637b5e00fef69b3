/** Selects servers of plain services by their state and health. */
import type {
  InstanceList,
  ServiceServer,
  ServiceSettings,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { createLeavingServers } from "./leaving_servers.ts";
import { createServerHealth } from "./server_health.ts";
import type {
  SendOptions,
  ServiceClient,
  ServiceRequest,
  ServiceResult,
} from "./service_client.ts";

const HEALTH_CHECK_INTERVAL_MS = 500;
const HEALTH_CHECK_TIMEOUT_MS = 1_000;
const OK = 200;
const SERVER_ERROR = 500;

const log = createLogger("backends");

/** The servers of all plain services. */
export interface ServiceFleet {
  /**
   * Returns the servers that are not leaving, in the order to try them. A
   * server keeps its place with the probability of its health weight, and
   * otherwise moves behind those that do.
   */
  choose(servers: readonly ServiceServer[]): readonly ServiceServer[];
  /** Sends a call without retries, and records its outcome. */
  send(
    server: ServiceServer,
    request: ServiceRequest,
    options: SendOptions,
  ): Promise<ServiceResult>;
  /** Applies the platform's instance list; `null` if it is unavailable. */
  applyInstanceList(list: InstanceList | null): void;
  stop(): void;
}

export interface ServiceFleetOptions {
  readonly services: readonly ServiceSettings[];
  readonly client: ServiceClient;
  /** Returns a number from 0 to 1; seeded by tests and checks. */
  readonly random?: () => number;
}

/** Starts health checks of the services that have a health path. */
export function createServiceFleet(options: ServiceFleetOptions): ServiceFleet {
  const { services, client, random = Math.random } = options;
  const health = createServerHealth();
  const leaving = createLeavingServers();
  const timers = services.flatMap((service) =>
    service.servers.flatMap((server) => startHealthChecks(service, server)),
  );

  function startHealthChecks(service: ServiceSettings, server: ServiceServer) {
    const path = service.health?.path;
    if (path === undefined) return [];
    void checkHealth(server, path);
    return setInterval(
      () => void checkHealth(server, path),
      HEALTH_CHECK_INTERVAL_MS,
    );
  }

  async function checkHealth(
    server: ServiceServer,
    path: string,
  ): Promise<void> {
    const request = { method: "GET", path, headers: {}, body: Buffer.alloc(0) };
    const result = await client.send(server.address, request, {
      timeoutMs: HEALTH_CHECK_TIMEOUT_MS,
    });
    if (result.kind === "answer") {
      recordLeaving(server, result.answer.status !== OK);
    } else if (result.kind === "not_started") {
      recordLeaving(server, true);
    }
  }

  function recordLeaving(server: ServiceServer, isLeaving: boolean): void {
    const wasLeaving = leaving.isLeaving(server);
    leaving.recordReport(server.id, isLeaving);
    if (wasLeaving === isLeaving) return;
    const event = isLeaving ? "server_leaving" : "server_returned";
    log.info(event, { server: server.id });
  }

  function observe(
    server: ServiceServer,
    outcome: { readonly result: ServiceResult; readonly elapsedMs: number },
  ): void {
    const { result, elapsedMs } = outcome;
    if (isHealthy(result)) health.recordSuccess(server.id, elapsedMs);
    else health.recordFailure(server.id);
    const hasResponse =
      result.kind === "answer" || result.kind === "not_started";
    if (hasResponse && result.leaving) recordLeaving(server, true);
  }

  return {
    choose(servers) {
      const available = servers.filter((server) => !leaving.isLeaving(server));
      const preferred = available.filter(
        ({ id }) => random() < health.weight(id),
      );
      const rest = available.filter((server) => !preferred.includes(server));
      return [...preferred, ...rest];
    },
    async send(server, request, sendOptions) {
      const startedAt = performance.now();
      const result = await client.send(server.address, request, sendOptions);
      observe(server, { result, elapsedMs: performance.now() - startedAt });
      return result;
    },
    applyInstanceList: leaving.applyInstanceList,
    stop() {
      for (const timer of timers) clearInterval(timer);
    },
  };
}

/** A 5xx response goes to the caller, but counts as a failure here. */
function isHealthy(result: ServiceResult): boolean {
  return result.kind === "answer" && result.answer.status < SERVER_ERROR;
}
