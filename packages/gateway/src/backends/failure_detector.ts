/**
 * Failure detector for backend servers: which servers get no requests after a
 * failure, and which count as dead.
 */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";

/**
 * Time for which a server gets no requests after it refused one. It is
 * releasing layers or out of memory, and both are short; its report is read
 * meanwhile.
 */
const REFUSAL_COOLDOWN_MS = 250;
/** Delay before the first repeated probe; doubles with each missed probe. */
const INITIAL_PROBE_DELAY_MS = 150;
const MAX_PROBE_DELAY_MS = 1_200;
/**
 * Repeated probes in progress. When most servers are suspected, the processor time
 * of the probes must not take that of the requests.
 */
const MAX_REPEATED_PROBES = 16;
/** Consecutive missed probes after which a server counts as dead. */
const MISSES_UNTIL_DEAD = 2;
/** Number of missed probes that a suspicion starts with, by reason. */
const INITIAL_MISSES: Readonly<Record<SuspicionReason, number>> = {
  silent: 0,
  unresponsive: 1,
  ended: MISSES_UNTIL_DEAD,
};
/**
 * Time for which a server that can't be probed gets no requests; doubles with
 * each failure. The next request then shows whether the server has recovered.
 */
const INITIAL_BACKOFF_MS = 800;
const MAX_BACKOFF_MS = 6_400;
/** Time without a failure that resets a server's backoff. */
const RESET_BACKOFF_AFTER_MS = 15_000;

const log = createLogger("failures");

/** Why a server is suspected. */
export type SuspicionReason =
  /** No answer, or the connection could not be established. */
  | "silent"
  /** No answer to a probe, and its answers in progress are stalled. */
  | "unresponsive"
  /** The address refuses connections: the process has ended. */
  | "ended";

export interface FailureDetector {
  /** Records a failure of the server. */
  reportFailure(id: string, reason: SuspicionReason): void;
  /** Records that the server, or a pipeline because of it, refused a request. */
  reportRefusal(id: string): void;
  /** Records that the server works or has restarted; ends any suspicion. */
  reportSuccess(id: string): void;
  /** Whether the server gets no new requests at present. */
  isAvoided(id: string): boolean;
  /** Whether it gets none because of a failure, which a refusal isn't. */
  hasFailed(id: string): boolean;
  /**
   * Whether the server has missed a probe, so that engines without layers may
   * load its layers in advance.
   */
  isSuspected(id: string): boolean;
  /** Whether the server counts as dead, so that others take its layers. */
  isDead(id: string): boolean;
}

interface Suspicion {
  readonly since: number;
  readonly isProbed: boolean;
  failures: number;
  missedProbes: number;
  avoidedUntil: number;
}

export interface FailureDetectorOptions {
  /** Resolves to whether a server answered, `null` if it can't be probed. */
  readonly probe: (id: string) => Promise<boolean | null>;
  /** Called with each failure and each missed probe of a server. */
  readonly onFailure?: (id: string) => void;
  /** Called when a server that was not suspected stops answering. */
  readonly onSilent?: (id: string) => void;
  /** Called with each missed probe or failure of a suspected server. */
  readonly onSuspected?: (id: string) => void;
  /** Called when a server begins to get no new requests. */
  readonly onAvoided?: (id: string) => void;
  readonly signal: AbortSignal;
}

/** Creates a failure detector without suspicions. */
export function createFailureDetector({
  probe,
  onFailure,
  onSilent,
  onSuspected,
  onAvoided,
  signal,
}: FailureDetectorOptions): FailureDetector {
  const suspicions = new Map<string, Suspicion>();
  const repeatedProbes = createSlots(MAX_REPEATED_PROBES);
  const refusals = new Map<string, number>();

  /**
   * Probes a suspected server until it answers one. If a suspicion expired by
   * time instead, a dead stage would get a new batch of answers each time and
   * stall each of them for seconds.
   */
  async function probeUntilRecovered(
    id: string,
    suspicion: Suspicion,
  ): Promise<void> {
    let waitMs = INITIAL_PROBE_DELAY_MS;
    while (!signal.aborted && suspicions.get(id) === suspicion) {
      await pause(waitMs, signal);
      const works = await repeatedProbes.run(() => probe(id));
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
      suspicion.missedProbes += 1;
      onFailure?.(id);
      onSuspected?.(id);
      if (suspicion.missedProbes === MISSES_UNTIL_DEAD) {
        log.warn("server_not_answering", {
          id,
          misses: suspicion.missedProbes,
        });
      }
      waitMs = Math.min(MAX_PROBE_DELAY_MS, waitMs * 2);
    }
  }

  function startBackoff(id: string, suspicion: Suspicion): void {
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** (suspicion.failures - 1);
    suspicion.avoidedUntil =
      performance.now() + Math.min(MAX_BACKOFF_MS, backoffMs);
    onAvoided?.(id);
  }

  async function startSuspicion(
    id: string,
    reason: SuspicionReason,
  ): Promise<void> {
    const now = performance.now();
    const misses = INITIAL_MISSES[reason];
    const suspicion: Suspicion = {
      since: now,
      isProbed: true,
      failures: 1,
      missedProbes: misses,
      avoidedUntil: Number.POSITIVE_INFINITY,
    };
    suspicions.set(id, suspicion);
    onAvoided?.(id);
    log.warn("server_suspected", { id, reason });
    if (reason !== "ended") onSilent?.(id);
    if (misses > 0) onSuspected?.(id);
    if ((await probe(id)) === null) {
      suspicions.set(id, { ...suspicion, isProbed: false, missedProbes: 0 });
      const unprobed = suspicions.get(id);
      if (unprobed) startBackoff(id, unprobed);
      return;
    }
    await probeUntilRecovered(id, suspicion);
  }

  function hasFailed(id: string): boolean {
    const suspicion = suspicions.get(id);
    return (
      suspicion !== undefined && performance.now() < suspicion.avoidedUntil
    );
  }

  return {
    reportFailure(id, reason) {
      onFailure?.(id);
      const last = suspicions.get(id);
      if (!last) {
        void startSuspicion(id, reason);
        return;
      }
      if (last.isProbed) {
        last.missedProbes = Math.max(last.missedProbes, INITIAL_MISSES[reason]);
        if (last.missedProbes > 0) onSuspected?.(id);
        return;
      }
      // Requests that were sent before the backoff began may still fail.
      const now = performance.now();
      if (now < last.avoidedUntil) return;
      const isRecent = now - last.avoidedUntil < RESET_BACKOFF_AFTER_MS;
      last.failures = isRecent ? last.failures + 1 : 1;
      startBackoff(id, last);
    },
    reportRefusal(id) {
      refusals.set(id, performance.now() + REFUSAL_COOLDOWN_MS);
      onAvoided?.(id);
    },
    reportSuccess(id) {
      suspicions.delete(id);
      refusals.delete(id);
    },
    isAvoided: (id) =>
      performance.now() < (refusals.get(id) ?? 0) || hasFailed(id),
    hasFailed,
    isSuspected(id) {
      const suspicion = suspicions.get(id);
      return suspicion?.isProbed === true && suspicion.missedProbes > 0;
    },
    isDead(id) {
      const suspicion = suspicions.get(id);
      return (
        suspicion?.isProbed === true &&
        suspicion.missedProbes >= MISSES_UNTIL_DEAD
      );
    },
  };
}

/** Runs at most `size` tasks at a time; the others wait for their turn. */
function createSlots(size: number) {
  const waiting: (() => void)[] = [];
  let used = 0;
  return {
    async run<Result>(task: () => Promise<Result>): Promise<Result> {
      if (used >= size)
        await new Promise<void>((resolve) => waiting.push(resolve));
      else used += 1;
      try {
        return await task();
      } finally {
        const next = waiting.shift();
        if (next) next();
        else used -= 1;
      }
    },
  };
}
