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
const FIRST_AVOIDED_MS = 800;
const LONGEST_AVOIDED_MS = 6_400;
/** Without a failure for so long, a server starts from the beginning. */
const FORGET_AFTER_MS = 15_000;

const log = createLogger("failures");

/** Why a server is suspected. */
export type AwayReason =
  /** It did not answer, or a connection did not come about. */
  | "silent"
  /** It did not answer a probe, and its answers stand still. */
  | "unresponsive"
  /** Its address refuses connections: the process has ended. */
  | "ended";

export interface FailureDetector {
  /** The server did not answer. */
  away(id: string, reason: AwayReason): void;
  /** The server, or a pipeline because of it, refused a request. */
  refused(id: string): void;
  /** The server has shown that it works, or has started anew. */
  worked(id: string): void;
  /** Whether requests keep away from it. */
  isAvoided(id: string): boolean;
  /** Whether engines without work may take its layers, should it be gone. */
  isSuspected(id: string): boolean;
  /** Whether its layers are to be held by others. */
  isGone(id: string): boolean;
}

interface Suspicion {
  readonly since: number;
  readonly probed: boolean;
  failures: number;
  misses: number;
  until: number;
}

export interface FailureDetectorOptions {
  /** Asks a server whether it works; `null` for those that can't be asked. */
  readonly probe: (id: string) => Promise<boolean | null>;
  /** Called when a server falls silent that was not suspected before. */
  readonly onSilent?: (id: string) => void;
  /** Called with each sign that a server may be gone. */
  readonly onSuspected?: (id: string) => void;
  readonly signal: AbortSignal;
}

/** Creates a record without any suspicion. */
export function createFailureDetector({
  probe,
  onSilent,
  onSuspected,
  signal,
}: FailureDetectorOptions): FailureDetector {
  const suspicions = new Map<string, Suspicion>();
  const refusals = new Map<string, number>();

  /**
   * A server that was silent is trusted again once it answers a probe. Trusted
   * after a while without one, a dead stage would take a new batch of answers
   * each time, and hold up each for seconds.
   */
  async function probeUntilBack(
    id: string,
    suspicion: Suspicion,
  ): Promise<void> {
    let waitMs = FIRST_PROBE_MS;
    while (!signal.aborted && suspicions.get(id) === suspicion) {
      await pause(waitMs, signal);
      const works = await probe(id);
      if (suspicions.get(id) !== suspicion) return;
      if (works === null) {
        suspicions.delete(id);
        return;
      }
      if (works) {
        const lastedMs = performance.now() - suspicion.since;
        log.info("server_back", { id, after_ms: lastedMs.toFixed(0) });
        suspicions.delete(id);
        return;
      }
      suspicion.misses += 1;
      onSuspected?.(id);
      if (suspicion.misses === MISSES_OF_GONE) {
        log.warn("server_not_answering", { id, misses: suspicion.misses });
      }
      waitMs = Math.min(LONGEST_PROBE_MS, waitMs * 2);
    }
  }

  function avoidForAWhile(suspicion: Suspicion): void {
    const lastsMs = FIRST_AVOIDED_MS * 2 ** (suspicion.failures - 1);
    suspicion.until = performance.now() + Math.min(LONGEST_AVOIDED_MS, lastsMs);
  }

  async function begin(id: string, reason: AwayReason): Promise<void> {
    const now = performance.now();
    const misses = MISSES_BY_REASON[reason];
    const suspicion: Suspicion = {
      since: now,
      probed: true,
      failures: 1,
      misses,
      until: Number.POSITIVE_INFINITY,
    };
    suspicions.set(id, suspicion);
    log.warn("server_suspected", { id, reason });
    if (reason !== "ended") onSilent?.(id);
    if (misses > 0) onSuspected?.(id);
    if ((await probe(id)) === null) {
      suspicions.set(id, { ...suspicion, probed: false, misses: 0 });
      const timed = suspicions.get(id);
      if (timed) avoidForAWhile(timed);
      return;
    }
    await probeUntilBack(id, suspicion);
  }

  return {
    away(id, reason) {
      const last = suspicions.get(id);
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
      avoidForAWhile(last);
    },
    refused(id) {
      refusals.set(id, performance.now() + REFUSED_FOR_MS);
    },
    worked(id) {
      suspicions.delete(id);
      refusals.delete(id);
    },
    isAvoided(id) {
      const now = performance.now();
      if (now < (refusals.get(id) ?? 0)) return true;
      const suspicion = suspicions.get(id);
      return suspicion !== undefined && now < suspicion.until;
    },
    isSuspected(id) {
      const suspicion = suspicions.get(id);
      return suspicion?.probed === true && suspicion.misses > 0;
    },
    isGone(id) {
      const suspicion = suspicions.get(id);
      return suspicion?.probed === true && suspicion.misses >= MISSES_OF_GONE;
    },
  };
}
