/** The record that an instance publishes of itself. */
import {
  type Address,
  formatAddress,
  type MemberNews,
  type MemberRecord,
  type SharedState,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

/** Minimum interval between revisions that only change the load. */
const LOAD_UPDATE_INTERVAL_MS = 10_000;
const WARN_INTERVAL_MS = 60_000;

const log = createLogger("membership");

/** Whether news from others about this instance had to be refuted. */
export type Correction = "none" | "refuted";

export interface OwnRecord {
  current(): MemberRecord;
  /** Changes the shared state; a change of load alone may keep the revision. */
  share(change: Partial<SharedState>): void;
  /** Marks this incarnation as ended. */
  leave(): void;
  /** Handles news of this instance; refutes wrong news by a higher revision. */
  handleNews(news: MemberNews): Correction;
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
  let loadSharedAt = performance.now();
  let warnedAt = -Infinity;

  /** The load changes with every answer, too often for a revision each time. */
  function needsNewRevision(shared: SharedState): boolean {
    const { note, draining } = record.shared;
    if (shared.note !== note || shared.draining !== draining) return true;
    return performance.now() - loadSharedAt >= LOAD_UPDATE_INTERVAL_MS;
  }

  /**
   * A process that resumes after a pause may learn of a successor with its id.
   * It may hold an old note and must not supersede the successor, so it refutes
   * nothing. The same occurs if the clock was set back before a restart: peers
   * then ignore this process as the older one until they drop the record of the
   * previous one.
   */
  function warnOfSuccessor({ incarnation, peer }: MemberRecord): void {
    const now = performance.now();
    if (now - warnedAt < WARN_INTERVAL_MS) return;
    warnedAt = now;
    const address = formatAddress(peer);
    log.warn("replaced_by_successor", { incarnation, address });
  }

  return {
    current: () => record,
    share(change) {
      const shared = { ...record.shared, ...change };
      const revisionStep = needsNewRevision(shared) ? 1 : 0;
      if (revisionStep === 1) loadSharedAt = performance.now();
      record = { ...record, revision: record.revision + revisionStep, shared };
    },
    leave() {
      record = { ...record, revision: record.revision + 1, left: true };
    },
    handleNews({ record: reported, status }) {
      if (record.left || reported.incarnation < record.incarnation)
        return "none";
      if (reported.incarnation > record.incarnation) {
        warnOfSuccessor(reported);
        return "none";
      }
      const isReportedAlive = status === "alive";
      if (isReportedAlive && reported.revision <= record.revision)
        return "none";
      if (reported.revision < record.revision) return "none";
      record = { ...record, revision: reported.revision + 1 };
      log.info("suspicion_refuted", { status, revision: record.revision });
      return "refuted";
    },
  };
}
