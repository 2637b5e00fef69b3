/** The servers of plain services: which to use, and how each is doing. */
import type {
  InstanceList,
  ServiceServer,
  ServiceSettings,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { createLeavingServers } from "./leaving.ts";
import { createServerHealth } from "./server_health.ts";
import type {
  SendOptions,
  ServiceClient,
  ServiceRequest,
  ServiceResult,
} from "./service_client.ts";

const HEALTH_EVERY_MS = 500;
const HEALTH_TIMEOUT_MS = 1_000;
const OK = 200;
const SERVER_ERROR = 500;

const log = createLogger("backends");

/** Servers of plain services. */
export interface ServiceFleet {
  /** Those of `servers` that may get new work, the trusted ones first. */
  choose(servers: readonly ServiceServer[]): readonly ServiceServer[];
  /** Sends one call once, and learns from how it went. */
  send(
    server: ServiceServer,
    request: ServiceRequest,
    options: SendOptions,
  ): Promise<ServiceResult>;
  /** Takes in the platform's list; `null` when it cannot be had. */
  takeList(list: InstanceList | null): void;
  stop(): void;
}

export interface ServiceFleetOptions {
  readonly services: readonly ServiceSettings[];
  readonly client: ServiceClient;
  /** A number from 0 to 1; seeded by tests and checks. */
  readonly random?: () => number;
}

/** Starts to ask the servers that have a health path. */
export function createServiceFleet(options: ServiceFleetOptions): ServiceFleet {
  const { services, client, random = Math.random } = options;
  const health = createServerHealth();
  const leaving = createLeavingServers();
  const timers = services.flatMap((service) =>
    service.servers.flatMap((server) => startHealth(service, server)),
  );

  function startHealth(service: ServiceSettings, server: ServiceServer) {
    const path = service.health?.path;
    if (path === undefined) return [];
    void askHealth(server, path);
    return setInterval(() => void askHealth(server, path), HEALTH_EVERY_MS);
  }

  async function askHealth(server: ServiceServer, path: string): Promise<void> {
    const request = { method: "GET", path, headers: {}, body: Buffer.alloc(0) };
    const result = await client.send(server.address, request, {
      timeoutMs: HEALTH_TIMEOUT_MS,
    });
    if (result.kind === "answer") {
      noteWord(server, result.answer.status !== OK);
    } else if (result.kind === "not_started") {
      noteWord(server, true);
    }
  }

  function noteWord(server: ServiceServer, isLeaving: boolean): void {
    const before = leaving.isLeaving(server);
    leaving.takeOwnWord(server.id, isLeaving);
    if (before === isLeaving) return;
    const event = isLeaving ? "server_leaving" : "server_returned";
    log.info(event, { server: server.id });
  }

  function observe(
    server: ServiceServer,
    outcome: { readonly result: ServiceResult; readonly elapsedMs: number },
  ): void {
    const { result, elapsedMs } = outcome;
    if (isWell(result)) health.succeeded(server.id, elapsedMs);
    else health.failed(server.id);
    const said = result.kind === "answer" || result.kind === "not_started";
    if (said && result.leaving) noteWord(server, true);
  }

  return {
    choose(servers) {
      const staying = servers.filter((server) => !leaving.isLeaving(server));
      const trusted = staying.filter(({ id }) => random() < health.trust(id));
      const rest = staying.filter((server) => !trusted.includes(server));
      return [...trusted, ...rest];
    },
    async send(server, request, sendOptions) {
      const startedAt = performance.now();
      const result = await client.send(server.address, request, sendOptions);
      observe(server, { result, elapsedMs: performance.now() - startedAt });
      return result;
    },
    takeList: leaving.takeList,
    stop() {
      for (const timer of timers) clearInterval(timer);
    },
  };
}

/** An answer of 5xx is final for its caller, but no sign of health. */
function isWell(result: ServiceResult): boolean {
  return result.kind === "answer" && result.answer.status < SERVER_ERROR;
}
