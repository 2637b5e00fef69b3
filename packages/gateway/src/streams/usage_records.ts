/**
 * Compact form of engine loads in datagrams: for each engine four bytes of a
 * hash of its id, then held memory and unread prompts as variable-length
 * integers. Ids alone would be most of a datagram, and with a bounded number of
 * bytes a second, smaller reports are more recent ones.
 */
import { createHash } from "node:crypto";
import type { EngineLoad, LoadByEngine } from "./engine_usage.ts";

const HASH_BYTES = 4;
/** Bits of a variable-length integer in one byte; the highest marks the end. */
const BITS_PER_BYTE = 7;
const CONTINUES = 1 << BITS_PER_BYTE;
/** Bound on a decoded value, in tokens times layers. */
const MAX_VALUE = 2 ** 40;

/** Finds engine ids by their hash. */
export interface EngineIndex {
  /** Id of a known engine; `undefined` if there is none with this hash. */
  idOf(hash: number): string | undefined;
  hashOf(id: string): number;
}

/** Creates an index of the engines that `listIds` returns. */
export function createEngineIndex(
  listIds: () => Iterable<string>,
): EngineIndex {
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

  /** Adds new engines, and removes hashes of those that are gone. */
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
  { hashOf }: EngineIndex,
): string {
  const bytes: number[] = [];
  for (const [id, { held, unread }] of loads) {
    const hash = hashOf(id);
    for (let at = HASH_BYTES - 1; at >= 0; at -= 1)
      bytes.push((hash >>> (at * 8)) & 0xff);
    pushInteger(bytes, held);
    pushInteger(bytes, unread);
  }
  return Buffer.from(bytes).toString("base64");
}

/**
 * Decodes loads; engines that aren't known are left out. Returns `null` if the
 * text is incomplete or a value is out of bounds.
 */
export function decodeLoads(
  text: string,
  { idOf }: EngineIndex,
): LoadByEngine | null {
  const bytes = Buffer.from(text, "base64");
  const loads = new Map<string, EngineLoad>();
  let at = 0;

  function readInteger(): number {
    let value = 0;
    for (let factor = 1; factor < MAX_VALUE; factor *= CONTINUES) {
      const byte = bytes[at] ?? Number.NaN;
      at += 1;
      value += (byte % CONTINUES) * factor;
      if (!(byte >= CONTINUES)) return value;
    }
    return Number.NaN;
  }

  while (at < bytes.length) {
    if (at + HASH_BYTES > bytes.length) return null;
    const id = idOf(bytes.readUInt32BE(at));
    at += HASH_BYTES;
    const held = readInteger();
    const unread = readInteger();
    if (!(held <= MAX_VALUE && unread <= MAX_VALUE)) return null;
    if (id !== undefined) loads.set(id, { held, unread });
  }
  return loads;
}

function pushInteger(bytes: number[], value: number): void {
  let rest = Math.round(Math.max(0, value));
  while (rest >= CONTINUES) {
    bytes.push((rest % CONTINUES) + CONTINUES);
    rest = Math.floor(rest / CONTINUES);
  }
  bytes.push(rest);
}
