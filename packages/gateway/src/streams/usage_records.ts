/**
 * Compact form of engine loads in datagrams: for each engine four bytes of a
 * hash of its id, then held memory and unread prompts as variable-length
 * integers. Ids alone would be most of a datagram, and with a bounded number of
 * bytes a second, smaller reports are more recent ones.
 */
import { createHash } from "node:crypto";
import type { EngineLoad, LoadByEngine } from "./engine_usage.ts";
import { createByteReader, pushHash, pushInteger } from "./record_bytes.ts";

/** Bound on a decoded value, in tokens times layers. */
const MAX_VALUE = 2 ** 40;

/** Finds ids of engines or names of services by their hash. */
export interface HashIndex {
  /** A known id; `undefined` if there is none with this hash. */
  idOf(hash: number): string | undefined;
  hashOf(id: string): number;
}

/** Creates an index of the ids that `listIds` returns. */
export function createHashIndex(listIds: () => Iterable<string>): HashIndex {
  const hashes = new Map<string, number>();
  const ids = new Map<number, string>();

  function hashOf(id: string): number {
    const known = hashes.get(id);
    if (known !== undefined) return known;
    const hash = createHash("sha256").update(id).digest().readUInt32BE();
    hashes.set(id, hash);
    ids.set(hash, id);
    return hash;
  }

  /** Adds new ids, and removes hashes of those that are gone. */
  function refresh(): void {
    const listed = new Set(listIds());
    for (const id of listed) hashOf(id);
    for (const [id, hash] of hashes) {
      if (listed.has(id)) continue;
      hashes.delete(id);
      ids.delete(hash);
    }
  }

  return {
    hashOf,
    idOf(hash) {
      if (!ids.has(hash)) refresh();
      return ids.get(hash);
    },
  };
}

/** Encodes loads as base64 text. */
export function encodeLoads(
  loads: Iterable<readonly [string, EngineLoad]>,
  { hashOf }: HashIndex,
): string {
  const bytes: number[] = [];
  for (const [id, { held, unread }] of loads) {
    pushHash(bytes, hashOf(id));
    pushInteger(bytes, held, MAX_VALUE);
    pushInteger(bytes, unread, MAX_VALUE);
  }
  return Buffer.from(bytes).toString("base64");
}

/**
 * Decodes loads; engines that aren't known are left out. Returns `null` if the
 * text is incomplete or a value is out of bounds.
 */
export function decodeLoads(
  text: string,
  { idOf }: HashIndex,
): LoadByEngine | null {
  const reader = createByteReader(Buffer.from(text, "base64"));
  const loads = new Map<string, EngineLoad>();
  while (!reader.isAtEnd()) {
    const hash = reader.readHash();
    const held = reader.readInteger();
    const unread = reader.readInteger();
    // A part that is cut off is read as NaN, which is not within the bounds.
    if (!(held <= MAX_VALUE && unread <= MAX_VALUE)) return null;
    const id = idOf(hash);
    if (id !== undefined) loads.set(id, { held, unread });
  }
  return loads;
}
