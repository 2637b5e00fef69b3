/** Finds out where two tables differ, and mends it record by record. */
import type { MemberNews, MemberRecord } from "@rosemarypin/schemas";
import type { ByteBudget } from "./byte_budget.ts";
import { BUCKETS, bucketOf, hashOf, type MemberTable } from "./member_table.ts";
import type { Random } from "./probe_order.ts";
import { ENVELOPE_BYTES, LARGEST_DATAGRAM_BYTES, newsBytes } from "./wire.ts";

/** Datagrams that answer one request. */
const MOST_ANSWERS = 4;
const LARGEST_ANSWER_BYTES = MOST_ANSWERS * LARGEST_DATAGRAM_BYTES;
/** A request for a sync, without the record of who asks. */
const REQUEST_BYTES = 480;
/** Sent of each bucket's hash, so that a digest fits a datagram. */
const HASH_BYTES = 2;
const HASH_MASK = 0xffff;

interface AskedRoom {
  readonly room?: number | undefined;
}

/** Creates the comparison of this instance's table with others. */
export function createTableSync(options: {
  readonly table: MemberTable;
  readonly self: () => MemberRecord;
  readonly budget: ByteBudget;
  /** All that passes this instance, both ways. */
  readonly traffic: ByteBudget;
  readonly random: Random;
}) {
  const { table, self, budget, traffic, random } = options;

  /** The table leaves out its owner; a comparison has to count it in. */
  function hashes(): Uint32Array {
    const found = Uint32Array.from(table.hashes());
    const own = self();
    const bucket = bucketOf(own.id);
    found[bucket] = ((found[bucket] ?? 0) ^ hashOf(own)) >>> 0;
    return found;
  }

  function shortHashes(): Uint16Array {
    return Uint16Array.from(hashes(), (hash) => hash & HASH_MASK);
  }

  return {
    /** One number for the whole table. */
    hash(): number {
      return hashes().reduce((sum, hash) => (sum ^ hash) >>> 0, 0);
    },
    /**
     * Bytes of answers that there is room for now. Without this bound an
     * instance that differs from many is sent more than its share: each of
     * those it asks knows only what it sends itself.
     */
    room(): number {
      const spare = traffic.left() - REQUEST_BYTES;
      return Math.floor(Math.min(spare, LARGEST_ANSWER_BYTES));
    },
    digests(): string {
      const found = shortHashes();
      const bytes = Buffer.alloc(BUCKETS * HASH_BYTES);
      found.forEach((hash, at) => {
        bytes.writeUInt16LE(hash, at * HASH_BYTES);
      });
      return bytes.toString("base64");
    },
    /**
     * Records for one that sent `digests` and has so much `room`, in portions
     * of one datagram. An older release does not tell its room.
     */
    answers(
      digests: string,
      { room: askersRoom = LARGEST_ANSWER_BYTES }: AskedRoom,
    ): MemberNews[][] {
      const others = readDigests(digests);
      if (!others) return [];
      const fixed =
        ENVELOPE_BYTES + newsBytes({ record: self(), status: "alive" });
      const portions: MemberNews[][] = [];
      let portion: MemberNews[] = [];
      let room = 0;
      let spare = Math.min(askersRoom, traffic.left());
      // From a random bucket on, so that askers get whole buckets.
      const firstBucket = Math.floor(random() * BUCKETS);
      const ids = table.differing(shortHashes(), others, { firstBucket });
      for (const id of ids) {
        const sized = table.sized(id);
        if (!sized) continue;
        const needed = sized.bytes > room ? sized.bytes + fixed : sized.bytes;
        if (needed > spare || !budget.take(sized.bytes)) break;
        spare -= needed;
        if (sized.bytes > room) {
          if (portions.length === MOST_ANSWERS) break;
          portion = [];
          portions.push(portion);
          room = LARGEST_DATAGRAM_BYTES - fixed;
        }
        portion.push(sized.news);
        room -= sized.bytes;
      }
      return portions;
    },
  };
}

export type TableSync = ReturnType<typeof createTableSync>;

function readDigests(text: string): Uint16Array | null {
  const bytes = Buffer.from(text, "base64");
  if (bytes.length !== BUCKETS * HASH_BYTES) return null;
  return Uint16Array.from({ length: BUCKETS }, (_, at) =>
    bytes.readUInt16LE(at * HASH_BYTES),
  );
}
