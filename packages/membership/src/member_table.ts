/** Table of members, and the rule for which news of a member prevails. */
import {
  type MemberNews,
  type MemberRecord,
  type MemberStatus,
  memberStatuses,
} from "@rosemarypin/schemas";
import xxhash from "xxhash-wasm";
import { newsBytes } from "./wire.ts";

/** Buckets of the table's digest; 340 instances give 2 or 3 records each. */
export const BUCKETS = 128;
/** Further records are refused, so that memory stays bounded. */
const MAX_RECORDS = 4_096;
/** Retention of a goodbye, which exceeds the delay of any datagram. */
const LEFT_RETENTION_MS = 15 * 60_000;

const { h32 } = await xxhash();

/** Liveness of a member as this instance reports it. */
export type MemberState = "alive" | "suspect" | "left";

/** Route by which a member answers probes; `none` if it does not answer. */
export type Reach = "direct" | "through_others" | "none";

/** A member's record with its state as seen by this instance. */
export interface Member {
  readonly record: MemberRecord;
  readonly state: MemberState;
  /** `performance.now()` when news of the member was last received. */
  readonly heardAt: number;
  /** Route by which the member is reachable; absent before the first probe. */
  readonly reach?: Reach;
}

interface Entry {
  news: MemberNews;
  heardAt: number;
  /** `performance.now()` when the status last changed in this table. */
  changedAt: number;
  reach: Reach | undefined;
  bytes: number;
  hash: number;
  readonly bucket: number;
}

/**
 * Whether `next` is newer than `current`. The record of a restarted process has
 * a later incarnation and replaces that of the old one; a goodbye is final for
 * its incarnation.
 */
export function isNewer(next: MemberRecord, current: MemberRecord): boolean {
  if (next.incarnation !== current.incarnation) {
    return next.incarnation > current.incarnation;
  }
  if (current.left) return false;
  if (next.left) return true;
  return next.revision > current.revision;
}

/** Whether `next` prevails; at the same revision the worse status does. */
function supersedes(next: MemberNews, current: MemberNews): boolean {
  if (isNewer(next.record, current.record)) return true;
  const isSameRevision =
    next.record.incarnation === current.record.incarnation &&
    next.record.revision === current.record.revision;
  if (!isSameRevision || current.record.left) return false;
  return rank(next.status) > rank(current.status);
}

function rank(status: MemberStatus): number {
  return memberStatuses.indexOf(status);
}

/** Whether the status means that the member is taken to have ended. */
export function hasEnded(status: MemberStatus): boolean {
  return status === "dead" || status === "left";
}

/** Creates an empty table. */
export function createMemberTable(options: {
  /**
   * Retention of a dead member. It may be partitioned and still serve, so this
   * must exceed the time that an instance may serve without contact.
   */
  readonly forgetSilentAfterMs: number;
}) {
  const entries = new Map<string, Entry>();
  /** Result of `computeHashes`; `null` after a change of the table. */
  let cachedHashes: Uint32Array | null = null;

  function toMember({ news, heardAt, reach }: Entry): Member {
    const { record, status } = news;
    const state = status === "dead" ? "suspect" : status;
    return { record, state, heardAt, ...(reach ? { reach } : {}) };
  }

  function isExpired({ news, changedAt }: Entry): boolean {
    const ageMs = performance.now() - changedAt;
    if (news.status === "left") return ageMs > LEFT_RETENTION_MS;
    return news.status === "dead" && ageMs > options.forgetSilentAfterMs;
  }

  function hashes(): Uint32Array {
    cachedHashes ??= computeHashes();
    return cachedHashes;
  }

  function computeHashes(): Uint32Array {
    const bucketHashes = new Uint32Array(BUCKETS);
    for (const { news, bucket, hash } of entries.values()) {
      if (hasEnded(news.status)) continue;
      bucketHashes[bucket] = ((bucketHashes[bucket] ?? 0) ^ hash) >>> 0;
    }
    return bucketHashes;
  }

  return {
    /** Merges news into the table; returns whether the news prevailed. */
    merge(news: MemberNews): boolean {
      const { id } = news.record;
      const existing = entries.get(id);
      if (existing && !supersedes(news, existing.news)) return false;
      // A table that has dropped an ended member must not accept it from one
      // that has not, or the record would circulate forever.
      if (!existing && hasEnded(news.status)) return false;
      if (!existing && entries.size >= MAX_RECORDS) return false;
      cachedHashes = null;
      const now = performance.now();
      const isSameStatus = existing?.news.status === news.status;
      const isRestarted =
        existing?.news.record.incarnation !== news.record.incarnation;
      entries.set(id, {
        news,
        heardAt: now,
        changedAt: existing && isSameStatus ? existing.changedAt : now,
        reach: isRestarted ? undefined : existing?.reach,
        bytes: newsBytes(news),
        hash: hashOf(news.record),
        bucket: existing?.bucket ?? bucketOf(id),
      });
      return true;
    },
    /** Records a datagram from the member itself, with its current load. */
    recordContact(record: MemberRecord): void {
      const entry = entries.get(record.id);
      if (!entry || entry.news.record.incarnation !== record.incarnation) {
        return;
      }
      entry.heardAt = performance.now();
      if (entry.news.record.revision !== record.revision) return;
      if (entry.news.status !== "alive") return;
      entry.news = { ...entry.news, record };
    },
    /** Records the route by which the member is reachable. */
    setReach(id: string, reach: Reach): void {
      const entry = entries.get(id);
      if (entry) entry.reach = reach;
    },
    /** Members that have been suspected for at least `afterMs`. */
    overdueSuspects(afterMs: number): MemberNews[] {
      const now = performance.now();
      return [...entries.values()]
        .filter(
          ({ news, changedAt }) =>
            news.status === "suspect" && now - changedAt >= afterMs,
        )
        .map(({ news }) => news);
    },
    /** Drops records of ended members after their retention. */
    dropExpired(): void {
      for (const [id, entry] of entries) {
        if (!isExpired(entry)) continue;
        entries.delete(id);
        cachedHashes = null;
      }
    },
    news(id: string): MemberNews | undefined {
      return entries.get(id)?.news;
    },
    /** A member's news with its size on the wire. */
    sized(id: string): { news: MemberNews; bytes: number } | undefined {
      return entries.get(id);
    },
    /** Ids in buckets whose hashes differ, ordered from `firstBucket` on. */
    differingIds(
      local: Uint16Array,
      remote: Uint16Array,
      { firstBucket }: { readonly firstBucket: number },
    ): string[] {
      const positionOf = ({ bucket }: Entry) =>
        (bucket + BUCKETS - firstBucket) % BUCKETS;
      return [...entries.values()]
        .filter(({ bucket }) => local[bucket] !== remote[bucket])
        .sort((a, b) => positionOf(a) - positionOf(b))
        .map(({ news }) => news.record.id);
    },
    hashes,
    get(id: string): Member | undefined {
      const entry = entries.get(id);
      return entry && toMember(entry);
    },
    all(): readonly Member[] {
      return [...entries.values()].map(toMember);
    },
    allNews(): readonly MemberNews[] {
      return [...entries.values()].map(({ news }) => news);
    },
    size: () => entries.size,
  };
}

export type MemberTable = ReturnType<typeof createMemberTable>;

/** Hash of the fields that identify a version of a member's record. */
export function hashOf(record: MemberRecord): number {
  return h32(`${record.id} ${record.incarnation} ${record.revision}`);
}

/** The digest bucket of the member `id`; the same in all tables. */
export function bucketOf(id: string): number {
  return h32(id) % BUCKETS;
}
