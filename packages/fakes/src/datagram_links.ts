/** Links in process that lose, delay, double and cut datagrams. */
import type { DatagramTransport } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";

/** Faults of all links; a test changes them as it goes. */
export interface LinkFaults {
  /** Share of datagrams that are lost, from 0 to 1. */
  loss: number;
  /** Share of datagrams that arrive twice, from 0 to 1. */
  duplication: number;
  /** Longest time on the way; each datagram takes a random part of it. */
  delayMs: number;
}

/** What passed a node, both ways together. */
export interface LinkTraffic {
  readonly bytes: number;
  readonly datagrams: number;
}

/** Datagram links between failure domains. */
export interface DatagramLinks {
  readonly faults: LinkFaults;
  /** Creates the transport of a node. */
  transport(options: {
    readonly address: Address;
    readonly domain: string;
  }): DatagramTransport;
  /** Cuts two failure domains off from each other, both ways. */
  cut(domain: string, other: string): void;
  /** Loses all that goes to or from an address, as if it had died. */
  silence(address: Address): void;
  /** Ends all cuts and silences. */
  heal(): void;
  /** Sent and received so far by the node at `address`, headers included. */
  traffic(address: Address): LinkTraffic;
}

interface Node {
  readonly domain: string;
  receive: (datagram: Uint8Array) => void;
  bytes: number;
  datagrams: number;
}

/** Creates links; `random` decides what is lost and how long it takes. */
export function createDatagramLinks(options: {
  readonly random: () => number;
  /** Bytes of headers that each datagram is counted with. */
  readonly headerBytes: number;
}): DatagramLinks {
  const { random } = options;
  const nodes = new Map<number, Node>();
  const cuts = new Set<string>();
  const silent = new Set<number>();
  const faults: LinkFaults = { loss: 0, duplication: 0, delayMs: 1 };

  function count(node: Node, datagram: Uint8Array): void {
    node.bytes += datagram.length + options.headerBytes;
    node.datagrams += 1;
  }

  function isCut(from: Node, to: Node): boolean {
    return (
      cuts.has(`${from.domain} ${to.domain}`) ||
      cuts.has(`${to.domain} ${from.domain}`)
    );
  }

  function carry(datagram: Uint8Array, port: number): void {
    setTimeout(() => {
      const node = nodes.get(port);
      if (!node || silent.has(port)) return;
      count(node, datagram);
      node.receive(datagram);
    }, random() * faults.delayMs);
  }

  function transport({
    address,
    domain,
  }: {
    readonly address: Address;
    readonly domain: string;
  }): DatagramTransport {
    const { port } = address;
    const node: Node = { domain, receive() {}, bytes: 0, datagrams: 0 };
    nodes.set(port, node);
    return {
      send(datagram, target) {
        if (silent.has(port)) return;
        count(node, datagram);
        const to = nodes.get(target.port);
        if (!to || isCut(node, to) || random() < faults.loss) return;
        carry(datagram, target.port);
        if (random() < faults.duplication) carry(datagram, target.port);
      },
      onDatagram(receiver) {
        node.receive = receiver;
      },
      async close() {
        if (nodes.get(port) === node) nodes.delete(port);
      },
    };
  }

  return {
    faults,
    transport,
    cut: (domain, other) => void cuts.add(`${domain} ${other}`),
    silence: ({ port }) => void silent.add(port),
    heal() {
      cuts.clear();
      silent.clear();
    },
    traffic({ port }) {
      const node = nodes.get(port);
      return { bytes: node?.bytes ?? 0, datagrams: node?.datagrams ?? 0 };
    },
  };
}
