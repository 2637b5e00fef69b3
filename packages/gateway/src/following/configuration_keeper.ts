/** Keeps the configuration in force; its version never decreases. */
import { createLogger } from "@rosemarypin/telemetry";
import {
  type Configuration,
  createRouteTable,
  type RouteTable,
} from "../configuration.ts";

/**
 * Time by which instances may differ in when they apply a version, within the
 * bound that the platform sets.
 */
const MAX_APPLY_DIFFERENCE_MS = 1_000;
/** Bound on the replaced versions that are kept, for their memory. */
const MAX_REPLACED = 8;

const log = createLogger("configuration");

/** A configuration with its index of routes. */
export interface AppliedConfiguration extends Configuration {
  readonly table: RouteTable;
}

export interface ConfigurationKeeper {
  /** The configuration in force; `null` before the first one. */
  applied(): AppliedConfiguration | null;
  /**
   * The configuration that decides about a request which another instance has
   * accepted: the version that accepted it, if that was in force here as well
   * at the time, and the one in force otherwise.
   */
  inForceFor(request: AcceptedRequest): AppliedConfiguration | null;
  /** Applies a configuration if it is newer than the one in force. */
  offer(configuration: Configuration): void;
  /** Calls the callback with each newly applied configuration. */
  onChanged(callback: (applied: AppliedConfiguration) => void): void;
}

export interface AcceptedRequest {
  /** Version of the configuration by which it was accepted. */
  readonly version: number;
  /** By the monotonic clock, in milliseconds. */
  readonly acceptedAt: number;
}

interface ReplacedConfiguration {
  readonly configuration: AppliedConfiguration;
  /** By the monotonic clock, in milliseconds. */
  readonly replacedAt: number;
}

/** Creates a keeper that has no configuration yet. */
export function createConfigurationKeeper(): ConfigurationKeeper {
  let applied: AppliedConfiguration | null = null;
  /** Versions whose requests may be in progress, in the order of versions. */
  let replaced: readonly ReplacedConfiguration[] = [];
  const callbacks: ((applied: AppliedConfiguration) => void)[] = [];

  return {
    applied: () => applied,
    inForceFor({ version, acceptedAt }) {
      const accepting = replaced
        .filter(mayHaveRequests)
        .find(
          ({ configuration, replacedAt }) =>
            configuration.version === version &&
            acceptedAt <= replacedAt + MAX_APPLY_DIFFERENCE_MS,
        );
      return accepting?.configuration ?? applied;
    },
    offer(configuration) {
      const previousVersion = applied?.version ?? 0;
      // A stale read or a slow peer must not restore a removed route.
      if (applied && configuration.version <= previousVersion) return;
      if (applied) {
        const latest = {
          configuration: applied,
          replacedAt: performance.now(),
        };
        replaced = [...replaced.filter(mayHaveRequests), latest];
        replaced = replaced.slice(-MAX_REPLACED);
      }
      const table = createRouteTable(configuration.routes);
      applied = { ...configuration, table };
      log.info("configuration_in_force", {
        version: configuration.version,
        previous: previousVersion,
        routes: configuration.routes.length,
        services: configuration.services.size,
        organisations: configuration.organisations?.size,
      });
      for (const callback of callbacks) callback(applied);
    },
    onChanged(callback) {
      callbacks.push(callback);
    },
  };
}

/** Whether requests that the version accepted may be in progress. */
function mayHaveRequests({
  configuration: { routes },
  replacedAt,
}: ReplacedConfiguration): boolean {
  const timeoutMs = Math.max(0, ...routes.map((route) => route.timeoutMs));
  const replacedForMs = performance.now() - replacedAt;
  return replacedForMs < timeoutMs + MAX_APPLY_DIFFERENCE_MS;
}
