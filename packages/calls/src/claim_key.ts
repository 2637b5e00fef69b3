/** Where the claim of a key is kept, and when a key is too old to be used. */
import { createHash } from "node:crypto";

const HOUR_MS = 3_600_000;
/** A dated key is refused once it is this old. */
const KEY_WINDOW_MS = 24 * HOUR_MS;
/**
 * Claims stay this much longer than keys may be used. It covers clocks that
 * differ, so that no instance takes a key whose claim another has removed.
 */
const CLOCK_DOUBT_MS = 2 * HOUR_MS;
const BUCKET_DIGITS = 9;
const UNDATED_BUCKET = "undated";

/** A UUID of version 7 begins with its time, in milliseconds since 1970. */
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** The key of one organisation's call. */
export interface OwnedKey {
  readonly organisation: string;
  readonly idempotencyKey: string;
}

/** When a key was made; `null` for a key that does not say. */
export function keyTime(idempotencyKey: string): number | null {
  const match = UUID_V7.exec(idempotencyKey);
  return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : null;
}

/** Whether a key is so old that its claim may have been removed. */
export function isExpiredKey(idempotencyKey: string): boolean {
  const time = keyTime(idempotencyKey);
  return time !== null && Date.now() - time > KEY_WINDOW_MS;
}

/**
 * Name of a claim: its time bucket, then a digest of organisation and key.
 *
 * The digest guards against keys such as `..` or `a//b`, which a URL would
 * turn into another path: two organisations' keys met in one object, and one
 * of them was told that its new key had been used. A digest is always one
 * plain path segment.
 */
export function claimName({ organisation, idempotencyKey }: OwnedKey): string {
  const digest = createHash("sha256")
    .update(`${organisation}\n${idempotencyKey}`)
    .digest("hex");
  return `${bucketOf(idempotencyKey)}/${digest}`;
}

/** The newest `count` buckets that no instance takes keys of any more. */
export function expiredBuckets(count: number): string[] {
  const lastMs = Date.now() - KEY_WINDOW_MS - CLOCK_DOUBT_MS;
  const last = Math.floor(lastMs / HOUR_MS) - 1;
  return Array.from({ length: count }, (_, index) => bucketName(last - index));
}

function bucketOf(idempotencyKey: string): string {
  const time = keyTime(idempotencyKey);
  if (time === null) return UNDATED_BUCKET;
  return bucketName(Math.floor(time / HOUR_MS));
}

function bucketName(hour: number): string {
  return String(hour).padStart(BUCKET_DIGITS, "0");
}
