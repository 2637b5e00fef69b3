/** What the gateway needs of the platform that surrounds it. */
import type { ObjectStore } from "@rosemarypin/store";
import type { BackendServer } from "./backend_server.ts";
import type { Configuration } from "./configuration.ts";
import type { EngineCalls, RequestCodec } from "./protocol.ts";

/** Keys of what the platform and its operators write. */
export interface PlatformKeys {
  readonly configuration: string;
  /** Prefix below which the configuration lies. */
  readonly configurations: string;
  /** Prefix of the entries of backend servers. */
  readonly servers: string;
}

/** The platform's side of one instance. */
export interface Platform {
  readonly store: ObjectStore;
  readonly keys: PlatformKeys;
  /** Path at which the balancer asks whether the instance is ready. */
  readonly readyPath: string;
  decodeConfiguration(content: unknown): Configuration | null;
  /** Gives the reason for an entry that names no server. */
  decodeServer(id: string, content: unknown): BackendServer | string;
  readonly codec: RequestCodec;
  readonly engines: EngineCalls;
}
