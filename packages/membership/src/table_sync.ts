/** Finds out where two tables differ, and mends it record by record. */
import type { MemberNews, MemberRecord } from "@rosemarypin/schemas";
import type { ByteBudget } from "./byte_budget.ts";
import { BUCKETS, bucketOf, hashOf, type MemberTable } from "./member_table.ts";
import type { Random } from "./probe_order.ts";
import { LARGEST_DATAGRAM_BYTES, newsBytes } from "./wire.ts";

/** Datagrams that answer one request. */
const MOST_ANSWERS = 4;
/** Envelope and head of a datagram, besides the sender's record. */
const ENVELOPE_BYTES = 110;
/** Sent of each bucket's hash, so that a digest fits a datagram. */
const HASH_BYTES = 2;
const HASH_MASK = 0xffff;

/** Creates the comparison of this instance's table with others. */
export function createTableSync(options: {
  readonly table: MemberTable;
  readonly self: () => MemberRecord;
  readonly budget: ByteBudget;
  readonly random: Random;
}) {
  const { table, self, budget, random } = options;

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
    digests(): string {
      const found = shortHashes();
      const bytes = Buffer.alloc(BUCKETS * HASH_BYTES);
      found.forEach((hash, at) => {
        bytes.writeUInt16LE(hash, at * HASH_BYTES);
      });
      return bytes.toString("base64");
    },
    /** Records for one that sent `digests`, in portions of one datagram. */
    answers(digests: string): MemberNews[][] {
      const others = readDigests(digests);
      if (!others) return [];
      const fixed =
        ENVELOPE_BYTES + newsBytes({ record: self(), status: "alive" });
      const portions: MemberNews[][] = [];
      let portion: MemberNews[] = [];
      let room = 0;
      // From a random bucket on, so that askers get whole buckets.
      const firstBucket = Math.floor(random() * BUCKETS);
      const ids = table.differing(shortHashes(), others, { firstBucket });
      for (const id of ids) {
        const sized = table.sized(id);
        if (!sized || !budget.take(sized.bytes)) break;
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
