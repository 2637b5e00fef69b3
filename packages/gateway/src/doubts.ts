/**
 * Which backend servers are left alone after failures, and since when they
 * are taken for gone.
 */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";

/**
 * Time for which a server that refused a request is left alone, in
 * milliseconds. It gives layers up, or has no memory left; both pass soon, and
 * it is asked what it holds meanwhile.
 */
const REFUSED_FOR_MS = 250;
/** Pause before a probe of a server that did not answer; doubled each time. */
const FIRST_PROBE_MS = 150;
const LONGEST_PROBE_MS = 1_200;
/** Probes in a row without an answer after which a server counts as gone. */
const MISSES_OF_GONE = 2;
/** Probes without an answer that each reason stands for. */
const MISSES_BY_REASON: Readonly<Record<AwayReason, number>> = {
  silent: 0,
  unresponsive: 1,
  ended: MISSES_OF_GONE,
};
/**
 * A server without probes is tried again after this, doubled with each
 * failure; its own requests then show whether it is back.
 */
const FIRST_DOUBT_MS = 800;
const LONGEST_DOUBT_MS = 6_400;
/** Without a failure for so long, a server starts from the beginning. */
const FORGET_AFTER_MS = 15_000;

const log = createLogger("doubts");

/** Why a server is doubted. */
export type AwayReason =
  /** It did not answer, or a connection did not come about. */
  | "silent"
  /** It did not answer a probe, and its answers stand still. */
  | "unresponsive"
  /** Its address refuses connections: the process has ended. */
  | "ended";

export interface Doubts {
  /** The server did not answer. */
  away(id: string, reason: AwayReason): void;
  /** The server, or a pipeline because of it, refused a request. */
  refused(id: string): void;
  /** The server has shown that it works, or has started anew. */
  worked(id: string): void;
  /** Whether requests keep away from it. */
  isDoubted(id: string): boolean;
  /** Whether engines without work may take its layers, should it be gone. */
  isSuspected(id: string): boolean;
  /** Whether its layers are to be held by others. */
  isGone(id: string): boolean;
}

interface Doubt {
  readonly since: number;
  readonly probed: boolean;
  failures: number;
  misses: number;
  until: number;
}

export interface DoubtsOptions {
  /** Asks a server whether it works; `null` for those that can't be asked. */
  readonly probe: (id: string) => Promise<boolean | null>;
  /** Called when a server falls silent that was not doubted before. */
  readonly onSilent?: (id: string) => void;
  /** Called with each sign that a server may be gone. */
  readonly onSuspected?: (id: string) => void;
  readonly signal: AbortSignal;
}

/** Creates a record without any doubt. */
export function createDoubts({
  probe,
  onSilent,
  onSuspected,
  signal,
}: DoubtsOptions): Doubts {
  const doubts = new Map<string, Doubt>();
  const refusals = new Map<string, number>();

  /**
   * A server that was silent is trusted again once it answers a probe. Trusted
   * after a while without one, a dead stage would take a new batch of answers
   * each time, and hold up each for seconds.
   */
  async function probeUntilBack(id: string, doubt: Doubt): Promise<void> {
    let waitMs = FIRST_PROBE_MS;
    while (!signal.aborted && doubts.get(id) === doubt) {
      await pause(waitMs, signal);
      const works = await probe(id);
      if (doubts.get(id) !== doubt) return;
      if (works === null) {
        doubts.delete(id);
        return;
      }
      if (works) {
        const lastedMs = performance.now() - doubt.since;
        log.info("server_back", { id, after_ms: lastedMs.toFixed(0) });
        doubts.delete(id);
        return;
      }
      doubt.misses += 1;
      onSuspected?.(id);
      if (doubt.misses === MISSES_OF_GONE) {
        log.warn("server_not_answering", { id, misses: doubt.misses });
      }
      waitMs = Math.min(LONGEST_PROBE_MS, waitMs * 2);
    }
  }

  function doubtTimed(doubt: Doubt): void {
    const lastsMs = FIRST_DOUBT_MS * 2 ** (doubt.failures - 1);
    doubt.until = performance.now() + Math.min(LONGEST_DOUBT_MS, lastsMs);
  }

  async function begin(id: string, reason: AwayReason): Promise<void> {
    const now = performance.now();
    const misses = MISSES_BY_REASON[reason];
    const doubt: Doubt = {
      since: now,
      probed: true,
      failures: 1,
      misses,
      until: Number.POSITIVE_INFINITY,
    };
    doubts.set(id, doubt);
    log.warn("server_doubted", { id, reason });
    if (reason !== "ended") onSilent?.(id);
    if (misses > 0) onSuspected?.(id);
    if ((await probe(id)) === null) {
      doubts.set(id, { ...doubt, probed: false, misses: 0 });
      const timed = doubts.get(id);
      if (timed) doubtTimed(timed);
      return;
    }
    await probeUntilBack(id, doubt);
  }

  return {
    away(id, reason) {
      const last = doubts.get(id);
      if (!last) {
        void begin(id, reason);
        return;
      }
      if (last.probed) {
        last.misses = Math.max(last.misses, MISSES_BY_REASON[reason]);
        if (last.misses > 0) onSuspected?.(id);
        return;
      }
      // Requests sent before the first failure showed say nothing new.
      const now = performance.now();
      if (now < last.until) return;
      const isRecent = now - last.until < FORGET_AFTER_MS;
      last.failures = isRecent ? last.failures + 1 : 1;
      doubtTimed(last);
    },
    refused(id) {
      refusals.set(id, performance.now() + REFUSED_FOR_MS);
    },
    worked(id) {
      doubts.delete(id);
      refusals.delete(id);
    },
    isDoubted(id) {
      const now = performance.now();
      if (now < (refusals.get(id) ?? 0)) return true;
      const doubt = doubts.get(id);
      return doubt !== undefined && now < doubt.until;
    },
    isSuspected(id) {
      const doubt = doubts.get(id);
      return doubt?.probed === true && doubt.misses > 0;
    },
    isGone(id) {
      const doubt = doubts.get(id);
      return doubt?.probed === true && doubt.misses >= MISSES_OF_GONE;
    },
  };
}
