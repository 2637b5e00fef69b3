/** Many members in one process. */
import { createDatagramLinks } from "@rosemarypin/fakes";
import {
  createMembership,
  createUdpTransport,
  type DatagramTransport,
  HEADER_BYTES,
  type Membership,
} from "@rosemarypin/membership";
import type { Address, MemberRecord } from "@rosemarypin/schemas";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const HOST = "127.0.0.1";
/** Ports of real sockets; fake links use the same numbers. */
const FIRST_PORT = 42_000;
const REGIONS = 2;
const SEEDS = 3;
/** Time for an instance to fetch and apply a note that it hears of. */
const APPLY_MS = 10;

/** One member with its traffic. */
export interface FleetMember {
  readonly id: string;
  readonly membership: Membership;
  /** Notes by number with the time each was first heard of. */
  readonly heardNotes: Map<number, number>;
  traffic(): { readonly bytes: number; readonly datagrams: number };
  /** Ends the process without a goodbye. */
  kill(): Promise<void>;
}

export interface Fleet {
  readonly members: readonly FleetMember[];
  stop(): Promise<void>;
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly size: number;
  readonly domains: number;
  readonly links: "udp" | "fake";
  readonly seed: number;
}

/** Starts all at once, with three seeds and the platform's list as a hint. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const random = createRandom(options.seed);
  const links = createDatagramLinks({ random, headerBytes: HEADER_BYTES });
  const places = Array.from({ length: options.size }, (_, at) =>
    placeOf(at, options),
  );

  async function open(place: Place): Promise<CountedTransport> {
    const { address, failureDomain } = place;
    if (options.links === "udp") {
      return countTraffic(await createUdpTransport(address));
    }
    const transport = links.transport({ address, domain: failureDomain });
    return countTraffic(transport);
  }

  async function start(place: Place): Promise<FleetMember> {
    const { id, failureDomain, address } = place;
    const counted = await open(place);
    const heardNotes = new Map<number, number>();
    const membership = await createMembership({
      id,
      failureDomain,
      peer: address,
      incarnation: Date.now(),
      seeds: places.slice(0, SEEDS).filter((seed) => seed.id !== id),
      transport: counted.transport,
      hints: async () => places.map((place) => place.address),
      random,
    });
    membership.onNews((record) => applyNote(record, membership, heardNotes));
    return {
      id,
      membership,
      heardNotes,
      traffic: counted.traffic,
      async kill() {
        counted.mute();
        await membership.leave();
      },
    };
  }

  const members: FleetMember[] = [];
  for (const place of places) members.push(await start(place));
  return {
    members,
    async stop() {
      await Promise.all(members.map((member) => member.kill()));
    },
  };
}

/** Applies a note and then announces it, like the component that holds it. */
function applyNote(
  record: MemberRecord,
  membership: Membership,
  heardNotes: Map<number, number>,
): void {
  const { note } = record.shared;
  if (heardNotes.has(note)) return;
  heardNotes.set(note, performance.now());
  setTimeout(() => {
    if (membership.self().shared.note < note) membership.share({ note });
  }, APPLY_MS);
}

interface Place {
  readonly id: string;
  readonly failureDomain: string;
  readonly address: Address;
}

function placeOf(at: number, { domains }: FleetOptions): Place {
  const domain = at % domains;
  const region = domain % REGIONS === 0 ? "ng-south" : "pwani";
  const failureDomain = `${region}-${domain}`;
  const id = `entry-${failureDomain}-${at}`;
  const address = { host: HOST, port: FIRST_PORT + at };
  return { id, failureDomain, address };
}

interface CountedTransport {
  readonly transport: DatagramTransport;
  traffic(): { readonly bytes: number; readonly datagrams: number };
  /** Sends and receives nothing from now on. */
  mute(): void;
}

function countTraffic(inner: DatagramTransport): CountedTransport {
  let bytes = 0;
  let datagrams = 0;
  let muted = false;

  function count(datagram: Uint8Array): void {
    bytes += datagram.length + HEADER_BYTES;
    datagrams += 1;
  }

  const transport: DatagramTransport = {
    send(datagram, target) {
      if (muted) return;
      count(datagram);
      inner.send(datagram, target);
    },
    onDatagram(receiver) {
      inner.onDatagram((datagram) => {
        if (muted) return;
        count(datagram);
        receiver(datagram);
      });
    },
    close: inner.close,
  };
  return {
    transport,
    traffic: () => ({ bytes, datagrams }),
    mute: () => {
      muted = true;
    },
  };
}

/** Random numbers from 0 to 1 that `seed` brings back. */
function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}
