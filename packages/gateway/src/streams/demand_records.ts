/**
 * Compact form of demand in datagrams: a record for each service and class, of
 * four bytes of a hash of the service's name, the class, then what arrives in a
 * second, waits and is held as variable-length integers.
 */
import {
  type ClassDemand,
  type Demand,
  type DemandByClass,
  LEAST_URGENT_CLASS,
} from "@rosemarypin/admission";
import { createByteReader, pushHash, pushInteger } from "./record_bytes.ts";
import type { HashIndex } from "./usage_records.ts";

const MAX_RECORDS = 32;
/**
 * Bound on a decoded value in tokens. The engines of a deployment together hold
 * under a hundredth of it.
 */
const MAX_TOKENS = 2 ** 36;

/** Encodes the largest demands as base64 text. */
export function encodeDemand(demand: Demand, { hashOf }: HashIndex): string {
  const records = [...demand]
    .flatMap(([service, classes]) =>
      [...classes].map(([priority, value]) => ({ service, priority, value })),
    )
    .sort((a, b) => sizeOf(b.value) - sizeOf(a.value))
    .slice(0, MAX_RECORDS);
  const bytes: number[] = [];
  for (const { service, priority, value } of records) {
    pushHash(bytes, hashOf(service));
    bytes.push(priority);
    pushInteger(bytes, value.arrivingPerSecond, MAX_TOKENS);
    pushInteger(bytes, value.waiting, MAX_TOKENS);
    pushInteger(bytes, value.held, MAX_TOKENS);
  }
  return Buffer.from(bytes).toString("base64");
}

/**
 * Decodes demand; services that aren't known are left out. Returns `null` if the
 * text is incomplete, has too many records or an unknown class, or if a value is
 * out of bounds.
 */
export function decodeDemand(text: string, { idOf }: HashIndex): Demand | null {
  const reader = createByteReader(Buffer.from(text, "base64"));
  const demand = new Map<string, Map<number, ClassDemand>>();
  for (let count = 0; !reader.isAtEnd(); count += 1) {
    const hash = reader.readHash();
    const priority = reader.readByte();
    const arrivingPerSecond = reader.readInteger();
    const waiting = reader.readInteger();
    const held = reader.readInteger();
    // A part that is cut off is read as NaN, which is not within the bounds.
    const isValid =
      count < MAX_RECORDS &&
      priority <= LEAST_URGENT_CLASS &&
      [arrivingPerSecond, waiting, held].every((value) => value <= MAX_TOKENS);
    if (!isValid) return null;
    const service = idOf(hash);
    if (service === undefined) continue;
    const classes = demand.get(service) ?? new Map<number, ClassDemand>();
    demand.set(service, classes);
    classes.set(priority, { arrivingPerSecond, waiting, held });
  }
  return demand satisfies ReadonlyMap<string, DemandByClass>;
}

function sizeOf({ arrivingPerSecond, waiting, held }: ClassDemand): number {
  return arrivingPerSecond + waiting + held;
}
