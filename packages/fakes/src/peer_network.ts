/** Instances in one process, joined by links that a test can cut. */
import type {
  Member,
  Membership,
  PeerCaller,
  PeerMethods,
} from "@rosemarypin/membership";
import type { MemberRecord, SharedState } from "@rosemarypin/schemas";

/** One instance's place in the network. */
export interface PeerNode {
  readonly membership: Membership;
  readonly caller: PeerCaller;
  /** Sets what the node answers to calls of its peers. */
  serve(methods: PeerMethods): void;
  /** Ends the process: calls to it are refused. */
  kill(): void;
}

export interface PeerNetwork {
  join(options: { readonly id: string; readonly domain: string }): PeerNode;
  /** Cuts the link between two instances, both ways. */
  cut(a: string, b: string): void;
  /** Takes an instance out of what the others know. */
  hide(id: string): void;
  heal(): void;
}

interface Node {
  record: MemberRecord;
  methods: PeerMethods;
  alive: boolean;
  readonly listeners: Set<(record: MemberRecord) => void>;
}

/** Creates a network without instances; messages arrive at once. */
export function createPeerNetwork(): PeerNetwork {
  const nodes = new Map<string, Node>();
  const cuts = new Set<string>();
  const hidden = new Set<string>();
  let nextPort = 1;

  function linked(a: string, b: string): boolean {
    return !cuts.has(`${a}|${b}`) && !cuts.has(`${b}|${a}`);
  }

  function tell(from: Node): void {
    for (const [id, node] of nodes) {
      if (id === from.record.id || !linked(id, from.record.id)) continue;
      for (const listener of node.listeners) listener(from.record);
    }
  }

  function join({ id, domain }: { id: string; domain: string }): PeerNode {
    const peer = { host: "127.0.0.1", port: nextPort };
    nextPort += 1;
    const node: Node = {
      record: {
        id,
        failureDomain: domain,
        peer,
        incarnation: nextPort,
        revision: 0,
        left: false,
        shared: { note: 0, draining: false, load: 0 },
      },
      methods: {},
      alive: true,
      listeners: new Set(),
    };
    nodes.set(id, node);
    tell(node);

    function share(change: Partial<SharedState>): void {
      const { record } = node;
      const shared = { ...record.shared, ...change };
      node.record = { ...record, revision: record.revision + 1, shared };
      tell(node);
    }

    const membership: Membership = {
      self: () => node.record,
      peers: () =>
        [...nodes.values()]
          .filter(({ record }) => record.id !== id)
          .filter(({ record }) => !hidden.has(record.id))
          .map(
            ({ record }): Member => ({
              record,
              state: record.left ? "left" : "alive",
              heardAt: performance.now(),
            }),
          ),
      share,
      onNews(listener) {
        node.listeners.add(listener);
        return () => node.listeners.delete(listener);
      },
      async leave() {
        node.record = { ...node.record, left: true };
        tell(node);
      },
    };
    const caller: PeerCaller = {
      async call(address, method, options = {}) {
        const target = [...nodes.values()].find(
          ({ record }) => record.peer.port === address.port,
        );
        if (!target || !linked(id, target.record.id)) {
          return { kind: "unreachable", detail: "cut" };
        }
        if (!target.alive) return { kind: "refused" };
        const handler = target.methods[method];
        if (!handler) return { kind: "rejected", detail: "no such method" };
        return { kind: "ok", value: await handler(options.params) };
      },
    };
    return {
      membership,
      caller,
      serve(methods) {
        node.methods = methods;
      },
      kill() {
        node.alive = false;
      },
    };
  }

  return {
    join,
    cut: (a, b) => void cuts.add(`${a}|${b}`),
    hide: (id) => void hidden.add(id),
    heal: () => cuts.clear(),
  };
}
