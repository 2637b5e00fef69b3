/** Keeps the note that this instance applies, and never goes back. */

import type { Membership, PeerCaller } from "@rosemarypin/membership";
import type { ObjectStore, Revision } from "@rosemarypin/platform";
import {
  headObjectSchema,
  type NoteRecord,
  noteRecordSchema,
  storedKeys,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";

/** Pause after a failed watch; doubled up to the cap, then jittered. */
const FIRST_BACKOFF_MS = 100;
const LARGEST_BACKOFF_MS = 5_000;

const log = createLogger("release");

export interface NoteKeeperOptions {
  readonly deployment: string;
  readonly store: ObjectStore;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly metrics?: Metrics;
}

/** The note in use here. */
export interface NoteKeeper {
  current(): NoteRecord | null;
  /** Applies a record if its number is higher; returns whether it did. */
  offer(record: NoteRecord): boolean;
  /** Called after each change of the note; returns how to stop. */
  onChange(listener: (record: NoteRecord) => void): () => void;
  /** Milliseconds since the store last confirmed or gave the note. */
  storeSilentMs(): number;
  stop(): void;
}

/** Starts to follow the head object and the peers. */
export function createNoteKeeper(options: NoteKeeperOptions): NoteKeeper {
  const { store, membership, peers, metrics } = options;
  const headKey = storedKeys.head(options.deployment);
  const listeners = new Set<(record: NoteRecord) => void>();
  const stopping = new AbortController();
  const fetching = new Set<string>();
  let current: NoteRecord | null = null;
  let storeHeardAt = -Infinity;

  function offer(record: NoteRecord): boolean {
    if (current && record.number <= current.number) return false;
    current = record;
    const delayMs = Math.max(0, Date.now() - record.recordedAt);
    metrics?.noteNumber.set(record.number);
    metrics?.noteApplyDelay.observe(delayMs / 1_000);
    log.info("note_applied", { note: record.number, delay_ms: delayMs });
    for (const listener of listeners) listener(record);
    membership.share({ note: record.number });
    return true;
  }

  const stopNews = membership.onNews((record) => {
    if (record.left || record.shared.note <= (current?.number ?? 0)) return;
    void fetchFrom(record.id);
  });

  async function fetchFrom(id: string): Promise<void> {
    const peer = membership.peers().find(({ record }) => record.id === id);
    if (!peer || fetching.has(id)) return;
    fetching.add(id);
    const result = await peers.call(peer.record.peer, "note.current");
    fetching.delete(id);
    if (result.kind !== "ok") return;
    const parsed = noteRecordSchema.safeParse(result.value);
    if (parsed.success) offer(parsed.data);
  }

  void followStore();

  async function followStore(): Promise<void> {
    let since: Revision = 0;
    let failures = 0;
    while (!stopping.signal.aborted) {
      const result = await store.watch(headKey, {
        since,
        signal: stopping.signal,
      });
      if (result.kind === "ok") {
        failures = 0;
        storeHeardAt = performance.now();
        since = result.value.revision;
        for (const object of result.value.objects) takeHead(object.value);
        continue;
      }
      if (stopping.signal.aborted) return;
      failures += 1;
      log.detail("watch_failed", { reason: result.kind, failures });
      await pause(backoffMs(failures), stopping.signal);
    }
  }

  function takeHead(value: unknown): void {
    const parsed = headObjectSchema.safeParse(value);
    if (parsed.success) offer(parsed.data);
    else log.warn("bad_head_object", { reason: parsed.error.message });
  }

  return {
    current: () => current,
    offer,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    storeSilentMs: () => performance.now() - storeHeardAt,
    stop() {
      stopNews();
      stopping.abort();
    },
  };
}

/** Full jitter, so that instances do not return to the store in step. */
function backoffMs(failures: number): number {
  const cap = Math.min(
    LARGEST_BACKOFF_MS,
    FIRST_BACKOFF_MS * 2 ** Math.min(failures, 10),
  );
  return Math.random() * cap;
}

function pause(durationMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(done, durationMs);
    signal.addEventListener("abort", done, { once: true });
    function done(): void {
      clearTimeout(timer);
      signal.removeEventListener("abort", done);
      resolve();
    }
  });
}
