/** What is known of each instance, and which of two pieces of news is newer. */
import {
  type MemberNews,
  type MemberRecord,
  type MemberStatus,
  memberStatuses,
} from "@rosemarypin/schemas";
import xxhash from "xxhash-wasm";
import { newsBytes } from "./wire.ts";

/** Buckets of the table's digest: two or three records at 340 instances. */
export const BUCKETS = 128;
/** More records than this are refused, so that memory stays bounded. */
const LARGEST_TABLE = 4_096;
/** How long a goodbye is remembered; old datagrams are long gone then. */
const FORGET_LEFT_AFTER_MS = 15 * 60_000;

const { h32 } = await xxhash();

/** Liveness as this instance judges it by its own clock. */
export type MemberState = "alive" | "suspect" | "left";

/** Whether an instance answers this one itself, or only a third one. */
export type Reach = "direct" | "through_others" | "none";

/** A record with the time it last moved, by this instance's clock. */
export interface Member {
  readonly record: MemberRecord;
  readonly state: MemberState;
  /** `performance.now()` at the last news of the instance. */
  readonly heardAt: number;
  /** How the instance can be reached from here; absent until it is known. */
  readonly reach?: Reach;
}

interface Entry {
  news: MemberNews;
  heardAt: number;
  /** When the status last changed here. */
  changedAt: number;
  reach: Reach | undefined;
  bytes: number;
  hash: number;
  readonly bucket: number;
}

/**
 * A restart on the same address has a later incarnation and replaces all
 * that was known of the old process; a goodbye is final for its incarnation.
 */
export function isNewer(next: MemberRecord, known: MemberRecord): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  if (known.left) return false;
  if (next.left) return true;
  return next.revision > known.revision;
}

/** A worse status prevails over a better one of the same revision. */
function supersedes(next: MemberNews, known: MemberNews): boolean {
  if (isNewer(next.record, known.record)) return true;
  const same =
    next.record.incarnation === known.record.incarnation &&
    next.record.revision === known.record.revision;
  if (!same || known.record.left) return false;
  return rank(next.status) > rank(known.status);
}

function rank(status: MemberStatus): number {
  return memberStatuses.indexOf(status);
}

/** An instance that has ended, as far as is known. */
export function hasEnded(status: MemberStatus): boolean {
  return status === "dead" || status === "left";
}

/** Creates an empty table. */
export function createMemberTable(options: {
  /**
   * How long a silent instance is remembered. It may be cut off and still
   * serve, so this has to be longer than it may serve without contact.
   */
  readonly forgetSilentAfterMs: number;
}) {
  const entries = new Map<string, Entry>();
  /** Kept until the table changes. */
  let knownHashes: Uint32Array | null = null;

  function view({ news, heardAt, reach }: Entry): Member {
    const { record, status } = news;
    const state = status === "dead" ? "suspect" : status;
    return { record, state, heardAt, ...(reach ? { reach } : {}) };
  }

  function isForgotten({ news, changedAt }: Entry): boolean {
    const age = performance.now() - changedAt;
    if (news.status === "left") return age > FORGET_LEFT_AFTER_MS;
    return news.status === "dead" && age > options.forgetSilentAfterMs;
  }

  function hashes(): Uint32Array {
    knownHashes ??= computeHashes();
    return knownHashes;
  }

  function computeHashes(): Uint32Array {
    const found = new Uint32Array(BUCKETS);
    for (const { news, bucket, hash } of entries.values()) {
      if (hasEnded(news.status)) continue;
      found[bucket] = ((found[bucket] ?? 0) ^ hash) >>> 0;
    }
    return found;
  }

  return {
    /** Takes news in; returns whether it was any. */
    merge(news: MemberNews): boolean {
      const { id } = news.record;
      const known = entries.get(id);
      if (known && !supersedes(news, known.news)) return false;
      // Whoever has forgotten an instance must not take its end from one that
      // has not: the record would go round and never be forgotten by all.
      if (!known && hasEnded(news.status)) return false;
      if (!known && entries.size >= LARGEST_TABLE) return false;
      knownHashes = null;
      const now = performance.now();
      const kept = known?.news.status === news.status;
      const restarted =
        known?.news.record.incarnation !== news.record.incarnation;
      entries.set(id, {
        news,
        heardAt: now,
        changedAt: known && kept ? known.changedAt : now,
        reach: restarted ? undefined : known?.reach,
        bytes: newsBytes(news),
        hash: hashOf(news.record),
        bucket: known?.bucket ?? bucketOf(id),
      });
      return true;
    },
    /** Notes that the instance itself was heard, with its present load. */
    hear(record: MemberRecord): void {
      const entry = entries.get(record.id);
      if (!entry || entry.news.record.incarnation !== record.incarnation) {
        return;
      }
      entry.heardAt = performance.now();
      if (entry.news.record.revision !== record.revision) return;
      if (entry.news.status !== "alive") return;
      entry.news = { ...entry.news, record };
    },
    /** Notes how the instance can be reached. */
    setReach(id: string, reach: Reach): void {
      const entry = entries.get(id);
      if (entry) entry.reach = reach;
    },
    /** Suspects of longer than `afterMs`. */
    overdueSuspects(afterMs: number): MemberNews[] {
      const now = performance.now();
      return [...entries.values()]
        .filter(
          ({ news, changedAt }) =>
            news.status === "suspect" && now - changedAt >= afterMs,
        )
        .map(({ news }) => news);
    },
    /** Drops records that have been of no use for long enough. */
    forget(): void {
      for (const [id, entry] of entries) {
        if (!isForgotten(entry)) continue;
        entries.delete(id);
        knownHashes = null;
      }
    },
    news(id: string): MemberNews | undefined {
      return entries.get(id)?.news;
    },
    /** A record with its size on the wire. */
    sized(id: string): { news: MemberNews; bytes: number } | undefined {
      return entries.get(id);
    },
    /** Ids in the buckets whose hashes are not the same, bucket by bucket. */
    differing(
      own: Uint16Array,
      others: Uint16Array,
      { firstBucket }: { readonly firstBucket: number },
    ): string[] {
      const place = ({ bucket }: Entry) =>
        (bucket + BUCKETS - firstBucket) % BUCKETS;
      return [...entries.values()]
        .filter(({ bucket }) => own[bucket] !== others[bucket])
        .sort((a, b) => place(a) - place(b))
        .map(({ news }) => news.record.id);
    },
    hashes,
    get(id: string): Member | undefined {
      const entry = entries.get(id);
      return entry && view(entry);
    },
    all(): readonly Member[] {
      return [...entries.values()].map(view);
    },
    allNews(): readonly MemberNews[] {
      return [...entries.values()].map(({ news }) => news);
    },
    size: () => entries.size,
  };
}

export type MemberTable = ReturnType<typeof createMemberTable>;

/** Hash of what makes a record differ from an older one of its instance. */
export function hashOf(record: MemberRecord): number {
  return h32(`${record.id} ${record.incarnation} ${record.revision}`);
}

/** The bucket in which every table keeps the record of `id`. */
export function bucketOf(id: string): number {
  return h32(id) % BUCKETS;
}
