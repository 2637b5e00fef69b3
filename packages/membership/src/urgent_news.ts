/** News that goes to a few others at once, and from them to all. */
import type { Address, MemberNews, MemberRecord } from "@rosemarypin/schemas";
import type { MemberTable } from "./member_table.ts";
import { type Random, sample } from "./probe_order.ts";

/** Instances of the own domain that are told, and instances in all. */
const NEAR = 4;
const ALL = 6;
/** Time for this instance to apply a new note before it passes on the news. */
const APPLY_FIRST_MS = 150;

/** Creates the spread of urgent news from one instance. */
export function createUrgentNews(options: {
  readonly failureDomain: string;
  readonly table: MemberTable;
  readonly random: Random;
  readonly send: (news: readonly MemberNews[], target: Address) => void;
  readonly signal: AbortSignal;
}) {
  const { failureDomain, table, random, send, signal } = options;
  /** The highest note number that this instance has passed on. */
  let passedNote = 0;
  /** The highest note number that waits to be passed on. */
  let waitingNote = 0;

  /** Every datagram tells of its sender; `news` goes along. */
  function tell(news: readonly MemberNews[]): void {
    for (const target of targets()) send(news, target);
  }

  function targets(): Address[] {
    const alive = table
      .allNews()
      .filter(({ status }) => status === "alive")
      .map(({ record }) => record);
    const isNear = (record: MemberRecord) =>
      record.failureDomain === failureDomain;
    const near = sample(alive.filter(isNear), NEAR, { random });
    const others = alive.filter((record) => !isNear(record));
    const far = sample(others, ALL - near.length, { random });
    return [...near, ...far].map(({ peer }) => peer);
  }

  return {
    tell,
    /** Tells of this instance's own note; returns whether it is new to it. */
    tellOwnNote(note: number): boolean {
      if (note <= passedNote) return false;
      passedNote = note;
      tell([]);
      return true;
    },
    /**
     * Passes the news of a higher note on. Those told first get a moment to
     * apply it and then tell of it as their own, so that the ones they tell
     * fetch it from them and not all from the first.
     */
    passOn(news: MemberNews): void {
      const { note } = news.record.shared;
      if (note <= Math.max(passedNote, waitingNote)) return;
      waitingNote = note;
      setTimeout(() => {
        if (note <= passedNote || signal.aborted) return;
        passedNote = note;
        tell([news]);
      }, APPLY_FIRST_MS);
    },
  };
}
