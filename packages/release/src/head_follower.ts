/** Reads and watches the head object in the store. */

import { headObjectSchema, type NoteRecord } from "@rosemarypin/schemas";
import type { ObjectStore, Revision } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { backoffMs } from "./backoff.ts";
import { elapsedMs, type Moment, readMoment } from "./moment.ts";

/** A watch without changes should block for at least this long. */
const MIN_WATCH_MS = 1_000;

const log = createLogger("release");

/** The result of one read of the head object. */
export interface HeadRead {
  /** The note in the head object; `null` before the first note. */
  readonly record: NoteRecord | null;
  /** When the read was started. */
  readonly startedAt: Moment;
}

export interface HeadFollowerOptions {
  readonly store: ObjectStore;
  readonly headKey: string;
  readonly signal: AbortSignal;
}

/** Reads the head object once; `null` if it cannot be read or parsed. */
export async function readHead(
  options: HeadFollowerOptions,
): Promise<HeadRead | null> {
  const startedAt = readMoment();
  const result = await options.store.read(options.headKey, {
    signal: options.signal,
  });
  if (result.kind !== "ok") return null;
  if (result.value === null) return { record: null, startedAt };
  const record = parseHead(result.value.value);
  return record && { record, startedAt };
}

/** Watches the head object until the signal is aborted. */
export async function followHead(
  options: HeadFollowerOptions & { readonly onRead: (read: HeadRead) => void },
): Promise<void> {
  const { store, headKey, signal } = options;
  let since: Revision = 0;
  let failures = 0;
  while (!signal.aborted) {
    const startedAt = readMoment();
    const result = await store.watch(headKey, { since, signal });
    if (signal.aborted) return;
    if (result.kind === "ok") {
      const { objects, revision } = result.value;
      for (const { value } of objects) {
        const record = parseHead(value);
        if (record) options.onRead({ record, startedAt });
      }
      // A watch that returns at once without changes counts as a failure.
      // Otherwise the loop would spin and use up the store's call budget.
      const isHealthy = revision > since || elapsedMs(startedAt) > MIN_WATCH_MS;
      since = revision;
      failures = isHealthy ? 0 : failures + 1;
      if (isHealthy) continue;
    } else {
      failures += 1;
      log.detail("watch_failed", { reason: result.kind, failures });
    }
    await pause(backoffMs(failures), signal);
  }
}

function parseHead(value: unknown): NoteRecord | null {
  const parsed = headObjectSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  log.warn("bad_head_object", { reason: parsed.error.message });
  return null;
}
