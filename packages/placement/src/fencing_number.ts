/** The number that goes out with each order. */

/** Release notes that fit below one fencing number of a lease. */
const NOTES_PER_LEASE = 2 ** 24;

/**
 * Orders rank by lease first and by note second. A late order of the same
 * holder, sent for the note before and delayed on its way, is then refused
 * like that of an earlier holder; repeating an order changes nothing.
 */
export function orderFencingNumber(order: {
  readonly leaseNumber: number;
  readonly noteNumber: number;
}): number {
  return order.leaseNumber * NOTES_PER_LEASE + order.noteNumber;
}
