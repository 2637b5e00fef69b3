/** The configuration that this instance applies; it never goes back. */
import { createLogger } from "@rosemarypin/telemetry";
import {
  type Configuration,
  createRouteTable,
  type RouteTable,
} from "../configuration.ts";

const log = createLogger("configuration");

/** A configuration with its index. */
export interface AppliedConfiguration extends Configuration {
  readonly table: RouteTable;
}

export interface ConfigurationKeeper {
  applied(): AppliedConfiguration | null;
  /** Applies a configuration unless it is older than the one in force. */
  offer(configuration: Configuration): void;
  /** Calls back after each change. */
  onChanged(callback: (applied: AppliedConfiguration) => void): void;
}

/** Creates a keeper that has no configuration yet. */
export function createConfigurationKeeper(): ConfigurationKeeper {
  let applied: AppliedConfiguration | null = null;
  const callbacks: ((applied: AppliedConfiguration) => void)[] = [];

  return {
    applied: () => applied,
    offer(configuration) {
      const from = applied?.version ?? 0;
      // A stale read or a slow peer must not bring a dropped route back.
      if (applied && configuration.version <= from) return;
      const table = createRouteTable(configuration.routes);
      applied = { ...configuration, table };
      log.info("configuration_in_force", {
        version: configuration.version,
        previous: from,
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
