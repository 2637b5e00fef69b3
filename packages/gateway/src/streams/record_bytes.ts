/** Hashes and variable-length integers in the records of datagrams. */

const HASH_BYTES = 4;
/** Bits of a variable-length integer in one byte; the highest marks the end. */
const BITS_PER_BYTE = 7;
const CONTINUES = 1 << BITS_PER_BYTE;
/** Bound on the value of an integer's highest byte; more bytes are invalid. */
const MAX_FACTOR = 2 ** 40;

/** Reads records; what is cut off is read as NaN. */
export interface ByteReader {
  isAtEnd(): boolean;
  readByte(): number;
  readHash(): number;
  readInteger(): number;
}

export function createByteReader(bytes: Buffer): ByteReader {
  let at = 0;

  function readByte(): number {
    const byte = bytes[at] ?? Number.NaN;
    at += 1;
    return byte;
  }

  return {
    isAtEnd: () => at >= bytes.length,
    readByte,
    readHash() {
      const isWhole = at + HASH_BYTES <= bytes.length;
      const hash = isWhole ? bytes.readUInt32BE(at) : Number.NaN;
      at += HASH_BYTES;
      return hash;
    },
    readInteger() {
      let value = 0;
      for (let factor = 1; factor < MAX_FACTOR; factor *= CONTINUES) {
        const byte = readByte();
        value += (byte % CONTINUES) * factor;
        if (!(byte >= CONTINUES)) return value;
      }
      return Number.NaN;
    },
  };
}

export function pushHash(bytes: number[], hash: number): void {
  for (let at = HASH_BYTES - 1; at >= 0; at -= 1)
    bytes.push((hash >>> (at * 8)) & 0xff);
}

/** Appends a value, rounded and between 0 and `max`; NaN as 0. */
export function pushInteger(bytes: number[], value: number, max: number): void {
  // An infinite value would never come to its last byte.
  let rest = Math.round(Math.min(max, Math.max(0, value || 0)));
  while (rest >= CONTINUES) {
    bytes.push((rest % CONTINUES) + CONTINUES);
    rest = Math.floor(rest / CONTINUES);
  }
  bytes.push(rest);
}
