/** Heartbeats between instances: JSON-RPC notifications in datagrams. */
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import {
  type Address,
  heartbeatSchema,
  type MemberRecord,
  type PeerSettings,
  type SharedState,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { createMemberTable, type Member } from "./member_table.ts";

const HEARTBEAT_EVERY_MS = 500;
/** Four heartbeats in a row have to be lost before a peer is suspect. */
const SUSPECT_AFTER_MS = 2_200;

const log = createLogger("membership");

export interface MembershipOptions {
  readonly id: string;
  readonly failureDomain: string;
  readonly peer: Address;
  readonly incarnation: number;
  /** Where to look for the first peers. */
  readonly seeds: readonly PeerSettings[];
  readonly metrics?: Metrics;
}

/** The instances of a deployment, as one of them sees it. */
export interface Membership {
  readonly self: () => MemberRecord;
  /** All known instances other than this one. */
  readonly peers: () => readonly Member[];
  /** Changes this instance's shared state and tells peers at once. */
  readonly share: (change: Partial<SharedState>) => void;
  /** Called after each news of a peer; returns how to stop. */
  readonly onNews: (listener: (record: MemberRecord) => void) => () => void;
  /** Says goodbye to the peers and closes. */
  readonly leave: () => Promise<void>;
}

/** Binds the peers' port and starts to exchange heartbeats. */
export async function createMembership(
  options: MembershipOptions,
): Promise<Membership> {
  const table = createMemberTable({ suspectAfterMs: SUSPECT_AFTER_MS });
  const listeners = new Set<(record: MemberRecord) => void>();
  let self: MemberRecord = {
    id: options.id,
    failureDomain: options.failureDomain,
    peer: options.peer,
    incarnation: options.incarnation,
    revision: 0,
    left: false,
    shared: { note: 0, draining: false, load: 0 },
  };
  const socket = await bind(options.peer);
  socket.on("message", (message) => receive(message));
  socket.on("error", (error) =>
    log.warn("socket_error", { reason: error.message }),
  );
  const timer = setInterval(beat, HEARTBEAT_EVERY_MS);
  beat();

  function beat(): void {
    self = { ...self, revision: self.revision + 1 };
    void sendHeartbeat();
  }

  function sendHeartbeat(): Promise<unknown> {
    const known = table.all().filter((member) => member.state !== "left");
    const message = encodeHeartbeat([
      self,
      ...known.map((member) => member.record),
    ]);
    const sent = targets().map((target) => {
      options.metrics?.peerBytes.inc({ direction: "sent" }, message.length);
      return send(message, target);
    });
    return Promise.all(sent);
  }

  /** Resolves once the datagram is on its way, or cannot be sent. */
  function send(message: Buffer, { host, port }: Address): Promise<void> {
    return new Promise((resolve) => {
      socket.send(message, port, host, (error) => {
        if (error) log.warn("send_failed", { reason: error.message });
        resolve();
      });
    });
  }

  function targets(): Address[] {
    const addresses = new Map<string, Address>();
    for (const seed of options.seeds) addresses.set(seed.id, seed.address);
    for (const { record } of table.all()) {
      if (record.left) addresses.delete(record.id);
      else addresses.set(record.id, record.peer);
    }
    addresses.delete(options.id);
    return [...addresses.values()];
  }

  function receive(message: Buffer): void {
    options.metrics?.peerBytes.inc({ direction: "received" }, message.length);
    const heartbeat = decodeHeartbeat(message);
    if (!heartbeat) {
      log.warn("bad_heartbeat", { bytes: message.length });
      return;
    }
    for (const record of heartbeat.members) takeIn(record);
  }

  function takeIn(record: MemberRecord): void {
    if (record.id === options.id) return;
    const before = table.get(record.id);
    if (!table.merge(record)) return;
    const changed =
      before?.record.incarnation !== record.incarnation ||
      before.record.left !== record.left;
    if (changed) {
      const event = record.left ? "peer_left" : "peer_joined";
      log.info(event, { peer: record.id, incarnation: record.incarnation });
    }
    for (const listener of listeners) listener(record);
  }

  return {
    self: () => self,
    peers: () => table.all(),
    share(change) {
      self = {
        ...self,
        revision: self.revision + 1,
        shared: { ...self.shared, ...change },
      };
      void sendHeartbeat();
    },
    onNews(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    async leave() {
      clearInterval(timer);
      self = { ...self, revision: self.revision + 1, left: true };
      // Sending looks the address up first, even a numeric one, and a socket
      // that was closed meanwhile drops the datagram: the goodbye was never
      // sent, and peers could only guess that the instance had ended.
      await sendHeartbeat();
      socket.close();
      await once(socket, "close");
    },
  };
}

async function bind(address: Address): Promise<Socket> {
  const socket = createSocket(address.host.includes(":") ? "udp6" : "udp4");
  socket.bind(address.port, address.host);
  await once(socket, "listening");
  return socket;
}

function encodeHeartbeat(members: readonly MemberRecord[]): Buffer {
  return Buffer.from(
    JSON.stringify({
      jsonrpc: "2.0",
      method: "heartbeat",
      params: { members },
    }),
  );
}

function decodeHeartbeat(message: Buffer) {
  try {
    const { params } = JSON.parse(message.toString()) as { params: unknown };
    const parsed = heartbeatSchema.safeParse(params);
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
