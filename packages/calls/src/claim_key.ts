/** Names of claims in the store, and the expiry of idempotency keys. */
import { createHash } from "node:crypto";

const HOUR_MS = 3_600_000;
/** A key that carries its creation time is refused once it is this old. */
const KEY_LIFETIME_MS = 24 * HOUR_MS;
/**
 * Claims are kept this much longer than their keys are accepted. The margin
 * covers clock skew: an instance with a slow clock must not accept a key whose
 * claim another instance has already removed.
 */
const CLOCK_SKEW_MS = 2 * HOUR_MS;
const BUCKET_DIGITS = 9;
const UNDATED_BUCKET = "undated";

/** A UUID of version 7 begins with its creation time in Unix milliseconds. */
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** An idempotency key, which is unique only within its organisation. */
export interface OrganisationKey {
  readonly organisation: string;
  readonly idempotencyKey: string;
}

/**
 * Creation time of a key in Unix milliseconds, or `null` if the key carries
 * none.
 */
export function keyCreationTime(idempotencyKey: string): number | null {
  const match = UUID_V7.exec(idempotencyKey);
  return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : null;
}

/** Whether a key is too old to be accepted, as its claim may be removed. */
export function isExpiredKey(idempotencyKey: string): boolean {
  const createdAt = keyCreationTime(idempotencyKey);
  return createdAt !== null && Date.now() - createdAt > KEY_LIFETIME_MS;
}

/**
 * Returns the name of a claim: the hour of the key's creation (or `undated`),
 * then a digest of organisation and key.
 *
 * Keys such as `..` or `a//b` are not used as they are, because URL
 * normalisation would map the keys of two organisations to one object, and
 * one of them would be refused as already used. A digest is always a single
 * path segment.
 */
export function claimName({
  organisation,
  idempotencyKey,
}: OrganisationKey): string {
  const digest = createHash("sha256")
    .update(`${organisation}\n${idempotencyKey}`)
    .digest("hex");
  return `${bucketOf(idempotencyKey)}/${digest}`;
}

/**
 * Returns the names of the newest `count` hourly buckets whose keys every
 * instance refuses, whatever its clock skew.
 */
export function expiredBuckets(count: number): string[] {
  const lastExpiredMs = Date.now() - KEY_LIFETIME_MS - CLOCK_SKEW_MS;
  const lastHour = Math.floor(lastExpiredMs / HOUR_MS) - 1;
  return Array.from({ length: count }, (_, index) =>
    bucketName(lastHour - index),
  );
}

function bucketOf(idempotencyKey: string): string {
  const createdAt = keyCreationTime(idempotencyKey);
  if (createdAt === null) return UNDATED_BUCKET;
  return bucketName(Math.floor(createdAt / HOUR_MS));
}

function bucketName(hour: number): string {
  return String(hour).padStart(BUCKET_DIGITS, "0");
}
