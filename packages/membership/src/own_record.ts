/** The record that an instance tells of itself. */
import {
  type Address,
  formatAddress,
  type MemberNews,
  type MemberRecord,
  type SharedState,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

/** A change of load alone is told to those not in contact this often. */
const LOAD_EVERY_MS = 10_000;
const WARN_EVERY_MS = 60_000;

const log = createLogger("membership");

/** What became of the record after others' news of it. */
export type Correction = "none" | "refuted";

export interface OwnRecord {
  current(): MemberRecord;
  share(change: Partial<SharedState>): void;
  leave(): void;
  /** Corrects what others believe of this instance. */
  hear(news: MemberNews): Correction;
}

/** Creates the record of a process that has just started. */
export function createOwnRecord(options: {
  readonly id: string;
  readonly failureDomain: string;
  readonly peer: Address;
  readonly incarnation: number;
}): OwnRecord {
  const { id, failureDomain, peer, incarnation } = options;
  let record: MemberRecord = {
    id,
    failureDomain,
    peer,
    incarnation,
    revision: 0,
    left: false,
    shared: { note: 0, draining: false, load: 0 },
  };
  let loadToldAt = performance.now();
  let warnedAt = -Infinity;

  /** Every answer changes the load; the fleet need not hear each time. */
  function isWorthTelling(shared: SharedState): boolean {
    const { note, draining } = record.shared;
    if (shared.note !== note || shared.draining !== draining) return true;
    return performance.now() - loadToldAt >= LOAD_EVERY_MS;
  }

  /**
   * A frozen process that thaws hears of its successor and must not push it
   * aside: it may hold an old note. So nothing is corrected. The same shows
   * when the clock was set back before a restart; peers then take the news of
   * this process for old, until they have forgotten the one before.
   */
  function warnOfSuccessor({ incarnation, peer }: MemberRecord): void {
    const now = performance.now();
    if (now - warnedAt < WARN_EVERY_MS) return;
    warnedAt = now;
    const address = formatAddress(peer);
    log.warn("replaced_by_successor", { incarnation, address });
  }

  return {
    current: () => record,
    share(change) {
      const shared = { ...record.shared, ...change };
      const step = isWorthTelling(shared) ? 1 : 0;
      if (step === 1) loadToldAt = performance.now();
      record = { ...record, revision: record.revision + step, shared };
    },
    leave() {
      record = { ...record, revision: record.revision + 1, left: true };
    },
    hear({ record: told, status }) {
      if (record.left || told.incarnation < record.incarnation) return "none";
      if (told.incarnation > record.incarnation) {
        warnOfSuccessor(told);
        return "none";
      }
      const believedAlive = status === "alive";
      if (believedAlive && told.revision <= record.revision) return "none";
      if (told.revision < record.revision) return "none";
      record = { ...record, revision: told.revision + 1 };
      log.info("suspicion_refuted", { status, revision: record.revision });
      return "refuted";
    },
  };
}
