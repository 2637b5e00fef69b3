/** What is known of each instance, and which of two records is newer. */
import type { MemberRecord } from "@rosemarypin/schemas";

/** Liveness as this instance judges it by its own clock. */
export type MemberState = "alive" | "suspect" | "left";

/** A record with the time it last moved, by this instance's clock. */
export interface Member {
  readonly record: MemberRecord;
  readonly state: MemberState;
  /** `performance.now()` at the last news of the instance. */
  readonly heardAt: number;
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

/** Creates an empty table; `suspectAfterMs` of silence make a suspect. */
export function createMemberTable(options: {
  readonly suspectAfterMs: number;
}) {
  const entries = new Map<string, { record: MemberRecord; heardAt: number }>();

  function view(entry: { record: MemberRecord; heardAt: number }): Member {
    const silentMs = performance.now() - entry.heardAt;
    const suspect = silentMs > options.suspectAfterMs;
    const state = entry.record.left ? "left" : suspect ? "suspect" : "alive";
    return { ...entry, state };
  }

  return {
    /** Takes a record in; returns whether it was news. */
    merge(record: MemberRecord): boolean {
      const known = entries.get(record.id);
      if (known && !isNewer(record, known.record)) return false;
      entries.set(record.id, { record, heardAt: performance.now() });
      return true;
    },
    get(id: string): Member | undefined {
      const entry = entries.get(id);
      return entry && view(entry);
    },
    all(): readonly Member[] {
      return [...entries.values()].map(view);
    },
  };
}

export type MemberTable = ReturnType<typeof createMemberTable>;
