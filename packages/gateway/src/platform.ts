/** Interface between the gateway and the platform that it is deployed on. */
import type { ObjectStore } from "@rosemarypin/store";
import type { BackendServer } from "./backend_server.ts";
import type { Configuration } from "./configuration.ts";
import type { EngineCalls, RequestCodec } from "./protocol.ts";

/** Store keys of the objects that the platform and its operators write. */
export interface PlatformKeys {
  /** Key of the configuration to apply. */
  readonly configuration: string;
  /** Prefix that contains the key of the configuration. */
  readonly configurations: string;
  /** Prefix of the entries of backend servers; their IDs follow it. */
  readonly servers: string;
}

/** Platform services and protocols of one instance. */
export interface Platform {
  readonly store: ObjectStore;
  readonly keys: PlatformKeys;
  /** HTTP path of the readiness probe. */
  readonly readyPath: string;
  /** Decodes a stored configuration; returns `null` if it is invalid. */
  decodeConfiguration(content: unknown): Configuration | null;
  /** Decodes a server entry; returns the reason as text if it is invalid. */
  decodeServer(id: string, content: unknown): BackendServer | string;
  readonly codec: RequestCodec;
  readonly engines: EngineCalls;
}
