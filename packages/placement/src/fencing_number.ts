/** The fencing number that is sent with each order. */

/** Range of note numbers within the fencing number of one lease. */
const NOTES_PER_LEASE = 2 ** 24;

/**
 * Combines both numbers so that orders rank by lease first and by note second.
 * An engine then refuses a delayed order for an older note of the same holder
 * as it refuses one of an earlier holder. Repeating an order changes nothing.
 */
export function orderFencingNumber(order: {
  readonly leaseNumber: number;
  readonly noteNumber: number;
}): number {
  return order.leaseNumber * NOTES_PER_LEASE + order.noteNumber;
}
