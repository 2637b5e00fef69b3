/** Many instances of one failure domain in one process, with their store. */
import type { Address } from "@rosemarypin/schemas";
import { type ObjectStore, SHORT_WATCH_TIMEOUTS } from "@rosemarypin/store";
import {
  createMemoryStore,
  type MemoryStore,
  type StoreFaults,
} from "./memory_store.ts";
import {
  createPeerLinks,
  type PeerLink,
  type PeerLinks,
} from "./peer_links.ts";

/** What an instance of the domain is started with. */
export interface InstanceParts {
  readonly name: string;
  readonly address: Address;
  readonly store: ObjectStore;
  readonly link: PeerLink;
  /** Aborted when the instance is killed. */
  readonly signal: AbortSignal;
}

export interface InstanceDomain<Instance> {
  readonly memory: MemoryStore;
  readonly links: PeerLinks;
  /** Starts an instance that doesn't run, also again after its end. */
  start(name: string): Promise<void>;
  /** Ends an instance as a lost process: without a word to anybody. */
  kill(name: string): void;
  /** The running instance; throws if there is none. */
  get(name: string): Instance;
  names(): readonly string[];
  /** Faults of the instance's store calls. */
  faults(name: string): StoreFaults;
  /** Ends all instances. */
  end(): void;
}

/** Time that the store takes for a call. */
const STORE_DELAY_MS = 2;

/** Creates a domain without instances; `launch` starts the code under test. */
export function createInstanceDomain<Instance>(
  launch: (parts: InstanceParts) => Promise<Instance>,
): InstanceDomain<Instance> {
  const memory = createMemoryStore({
    watchHoldMs: SHORT_WATCH_TIMEOUTS.watchHoldMs,
  });
  const links = createPeerLinks();
  const running = new Map<
    string,
    {
      readonly instance: Instance;
      readonly faults: StoreFaults;
      readonly process: AbortController;
    }
  >();

  function find(name: string) {
    const found = running.get(name);
    if (!found) throw new Error(`${name} does not run`);
    return found;
  }

  function kill(name: string): void {
    const { process, faults } = find(name);
    links.kill(name);
    faults.down = true;
    process.abort();
    running.delete(name);
  }

  return {
    memory,
    links,
    async start(name) {
      const process = new AbortController();
      const { store, faults } = memory.client();
      faults.delayMs = STORE_DELAY_MS;
      const instance = await launch({
        name,
        address: { host: name, port: 1 },
        store,
        link: links.link(name),
        signal: process.signal,
      });
      running.set(name, { instance, faults, process });
    },
    kill,
    get: (name) => find(name).instance,
    names: () => [...running.keys()],
    faults: (name) => find(name).faults,
    end() {
      for (const name of [...running.keys()]) kill(name);
    },
  };
}
