/** Anti-entropy: finds where two tables differ and sends missing records. */
import type { MemberNews, MemberRecord } from "@rosemarypin/schemas";
import type { ByteBudget } from "./byte_budget.ts";
import { BUCKETS, bucketOf, hashOf, type MemberTable } from "./member_table.ts";
import type { Random } from "./probe_order.ts";
import { LARGEST_DATAGRAM_BYTES, newsBytes } from "./wire.ts";

/** Limit of datagrams that answer one sync request. */
const MAX_DATAGRAMS_PER_ANSWER = 4;
/** Envelope and head of a datagram without the sender's record. */
const ENVELOPE_BYTES = 110;
/** Bytes sent of each bucket's hash, so that a digest fits in a datagram. */
const HASH_BYTES = 2;
const HASH_MASK = 0xffff;

/** Creates the sync of this instance's table with those of others. */
export function createTableSync(options: {
  readonly table: MemberTable;
  readonly self: () => MemberRecord;
  readonly budget: ByteBudget;
  readonly random: Random;
}) {
  const { table, self, budget, random } = options;

  /** Bucket hashes of the table and this instance's record, which it lacks. */
  function hashes(): Uint32Array {
    const bucketHashes = Uint32Array.from(table.hashes());
    const own = self();
    const bucket = bucketOf(own.id);
    bucketHashes[bucket] = ((bucketHashes[bucket] ?? 0) ^ hashOf(own)) >>> 0;
    return bucketHashes;
  }

  function shortHashes(): Uint16Array {
    return Uint16Array.from(hashes(), (hash) => hash & HASH_MASK);
  }

  return {
    /** Hash of the whole table. */
    hash(): number {
      return hashes().reduce((sum, hash) => (sum ^ hash) >>> 0, 0);
    },
    /** Short hashes of all buckets, in base64. */
    digests(): string {
      const bucketHashes = shortHashes();
      const bytes = Buffer.alloc(BUCKETS * HASH_BYTES);
      bucketHashes.forEach((hash, bucket) => {
        bytes.writeUInt16LE(hash, bucket * HASH_BYTES);
      });
      return bytes.toString("base64");
    },
    /** Records for the sender of `digests`, in batches of one datagram. */
    answers(digests: string): MemberNews[][] {
      const remote = readDigests(digests);
      if (!remote) return [];
      const fixedBytes =
        ENVELOPE_BYTES + newsBytes({ record: self(), status: "alive" });
      const batches: MemberNews[][] = [];
      let batch: MemberNews[] = [];
      let bytesLeft = 0;
      // Starts at a random bucket, so that repeated requests get all buckets.
      const firstBucket = Math.floor(random() * BUCKETS);
      const ids = table.differingIds(shortHashes(), remote, { firstBucket });
      for (const id of ids) {
        const sized = table.sized(id);
        if (!sized || !budget.take(sized.bytes)) break;
        if (sized.bytes > bytesLeft) {
          if (batches.length === MAX_DATAGRAMS_PER_ANSWER) break;
          batch = [];
          batches.push(batch);
          bytesLeft = LARGEST_DATAGRAM_BYTES - fixedBytes;
        }
        batch.push(sized.news);
        bytesLeft -= sized.bytes;
      }
      return batches;
    },
  };
}

export type TableSync = ReturnType<typeof createTableSync>;

function readDigests(text: string): Uint16Array | null {
  const bytes = Buffer.from(text, "base64");
  if (bytes.length !== BUCKETS * HASH_BYTES) return null;
  return Uint16Array.from({ length: BUCKETS }, (_, bucket) =>
    bytes.readUInt16LE(bucket * HASH_BYTES),
  );
}
