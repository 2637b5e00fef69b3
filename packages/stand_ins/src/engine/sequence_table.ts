/** The sequences of one engine: those that run and those that are parked. */
import type { Sequence } from "./sequence.ts";

/** How long the KV cache of a stopped sequence is kept. */
const PARK_MS = 10_000;
/** Bounds the memory that parked sequences take. */
const PARKED_AT_MOST = 256;
const ENDED_AT_MOST = 4_096;

/** How an answer ended, or `null` while tokens are missing. */
export type SequenceEnd = "stop" | "length" | null;

interface ParkedSequence {
  readonly sequence: Sequence;
  readonly ended: SequenceEnd;
  readonly parkedAt: number;
}

/** Finds sequences by request. */
export interface SequenceTable {
  running(requestId: string): Sequence | undefined;
  allRunning(): Iterable<Sequence>;
  parked(requestId: string): ParkedSequence | undefined;
  /** Highest attempt that was seen here, or 0. */
  latestAttempt(requestId: string): number;
  run(sequence: Sequence): void;
  /** Notes an attempt that goes on elsewhere: none up to it runs here. */
  noteAttempt(requestId: string, attempt: number): void;
  /** Stops a sequence and keeps its KV cache for a while. */
  park(sequence: Sequence, ended: SequenceEnd): void;
  /** Forgets the KV cache at once. */
  drop(requestId: string): void;
  /** Forgets all parked sequences that `keep` does not want. */
  dropParked(keep: (sequence: Sequence) => boolean): void;
}

/** Creates an empty table. */
export function createSequenceTable(): SequenceTable {
  const running = new Map<string, Sequence>();
  const parked = new Map<string, ParkedSequence>();
  const attempts = new Map<string, number>();

  function dropOldest(map: Map<string, unknown>, atMost: number): void {
    for (const key of map.keys()) {
      if (map.size <= atMost) return;
      map.delete(key);
    }
  }

  function dropExpired(): void {
    const limit = performance.now() - PARK_MS;
    for (const [requestId, { parkedAt }] of parked) {
      if (parkedAt > limit) return;
      parked.delete(requestId);
    }
  }

  function noteAttempt(requestId: string, attempt: number): void {
    attempts.delete(requestId);
    attempts.set(requestId, attempt);
    dropOldest(attempts, ENDED_AT_MOST);
  }

  return {
    running: (requestId) => running.get(requestId),
    allRunning: () => running.values(),
    parked(requestId) {
      dropExpired();
      return parked.get(requestId);
    },
    latestAttempt: (requestId) => attempts.get(requestId) ?? 0,
    run(sequence) {
      const { requestId, attempt } = sequence.request;
      parked.delete(requestId);
      running.set(requestId, sequence);
      noteAttempt(requestId, attempt);
    },
    noteAttempt,
    park(sequence, ended) {
      const { requestId } = sequence.request;
      running.delete(requestId);
      parked.delete(requestId);
      parked.set(requestId, { sequence, ended, parkedAt: performance.now() });
      dropExpired();
      dropOldest(parked, PARKED_AT_MOST);
    },
    drop(requestId) {
      running.delete(requestId);
      parked.delete(requestId);
    },
    dropParked(keep) {
      for (const [requestId, { sequence }] of parked) {
        if (!keep(sequence)) parked.delete(requestId);
      }
    },
  };
}
