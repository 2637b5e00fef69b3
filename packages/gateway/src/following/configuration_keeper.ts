/** Keeps the configuration in force; its version never decreases. */
import { createLogger } from "@rosemarypin/telemetry";
import {
  type Configuration,
  createRouteTable,
  type RouteTable,
} from "../configuration.ts";

const log = createLogger("configuration");

/** A configuration with its index of routes. */
export interface AppliedConfiguration extends Configuration {
  readonly table: RouteTable;
}

export interface ConfigurationKeeper {
  /** The configuration in force; `null` before the first one. */
  applied(): AppliedConfiguration | null;
  /** Applies a configuration if it is newer than the one in force. */
  offer(configuration: Configuration): void;
  /** Calls the callback with each newly applied configuration. */
  onChanged(callback: (applied: AppliedConfiguration) => void): void;
}

/** Creates a keeper that has no configuration yet. */
export function createConfigurationKeeper(): ConfigurationKeeper {
  let applied: AppliedConfiguration | null = null;
  const callbacks: ((applied: AppliedConfiguration) => void)[] = [];

  return {
    applied: () => applied,
    offer(configuration) {
      const previousVersion = applied?.version ?? 0;
      // A stale read or a slow peer must not restore a removed route.
      if (applied && configuration.version <= previousVersion) return;
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
