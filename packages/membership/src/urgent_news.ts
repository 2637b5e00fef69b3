/** Gossip of urgent news: sent at once to a few members, who forward it. */
import type { Address, MemberNews, MemberRecord } from "@rosemarypin/schemas";
import type { MemberTable } from "./member_table.ts";
import { type Random, sample } from "./probe_order.ts";

/** Receivers in the sender's domain, and receivers in total. */
const LOCAL_FANOUT = 4;
const FANOUT = 6;
/** Time for this instance to apply a new note before it forwards the news. */
const FORWARD_DELAY_MS = 150;

/** Creates the urgent gossip of an instance. */
export function createUrgentNews(options: {
  readonly failureDomain: string;
  readonly table: MemberTable;
  readonly random: Random;
  readonly send: (news: readonly MemberNews[], target: Address) => void;
  readonly signal: AbortSignal;
}) {
  const { failureDomain, table, random, send, signal } = options;
  /** The highest note number that this instance has gossiped. */
  let sentNote = 0;
  /** The highest note number that is due to be gossiped. */
  let pendingNote = 0;

  /** Sends `news` and, as in every datagram, the sender's record. */
  function gossip(news: readonly MemberNews[]): void {
    for (const target of targets()) send(news, target);
  }

  function targets(): Address[] {
    const alive = table
      .allNews()
      .filter(({ status }) => status === "alive")
      .map(({ record }) => record);
    const isLocal = (record: MemberRecord) =>
      record.failureDomain === failureDomain;
    const local = sample(alive.filter(isLocal), LOCAL_FANOUT, { random });
    const remoteRecords = alive.filter((record) => !isLocal(record));
    const remote = sample(remoteRecords, FANOUT - local.length, { random });
    return [...local, ...remote].map(({ peer }) => peer);
  }

  return {
    gossip,
    /** Gossips this instance's note; returns `false` if already done. */
    gossipOwnNote(note: number): boolean {
      if (note <= sentNote) return false;
      sentNote = note;
      gossip([]);
      return true;
    },
    /**
     * Forwards news of a higher note after a delay. If this instance applies
     * the note meanwhile, it gossips the note as its own instead, so that
     * receivers fetch the note from it and not all from the origin.
     */
    forwardNote(news: MemberNews): void {
      const { note } = news.record.shared;
      if (note <= Math.max(sentNote, pendingNote)) return;
      pendingNote = note;
      setTimeout(() => {
        if (note <= sentNote || signal.aborted) return;
        sentNote = note;
        gossip([news]);
      }, FORWARD_DELAY_MS);
    },
  };
}
