/**
 * Collects a body. What a parser passes on is copied at once: each part may be a
 * byte, and as an object of its own it costs over a hundred.
 */

const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 262_144;

export interface BodyBuffer {
  /** Bytes of the body so far. */
  length(): number;
  /** Bytes by which its memory grows when so many are added. */
  growthFor(bytes: number): number;
  add(part: Buffer): void;
  /** The body, which must not be added to any more. */
  content(): Buffer;
}

/**
 * Creates an empty one for at most `limitBytes`. It grows by blocks, as a buffer
 * that is replaced by a larger one stays in memory until garbage is collected.
 */
export function createBodyBuffer(limitBytes: number): BodyBuffer {
  const blocks: Buffer[] = [];
  let capacity = 0;
  let length = 0;
  /** Bytes that the last block has room for. */
  let room = 0;

  function blockFor(bytes: number): number {
    const usual = Math.max(FIRST_BLOCK_BYTES, capacity);
    const bounded = Math.min(usual, MAX_BLOCK_BYTES, limitBytes - capacity);
    return Math.max(bytes, bounded);
  }

  return {
    length: () => length,
    growthFor: (bytes) => (bytes <= room ? 0 : blockFor(bytes - room)),
    add(part) {
      const last = blocks.at(-1);
      const fitting = Math.min(room, part.length);
      if (last && fitting > 0) part.copy(last, last.length - room, 0, fitting);
      room -= fitting;
      length += part.length;
      if (fitting === part.length) return;
      const rest = part.length - fitting;
      const block = Buffer.allocUnsafeSlow(blockFor(rest));
      part.copy(block, 0, fitting);
      blocks.push(block);
      capacity += block.length;
      room = block.length - rest;
    },
    content() {
      const [only] = blocks;
      const isOne = only !== undefined && blocks.length === 1;
      return isOne ? only.subarray(0, length) : Buffer.concat(blocks, length);
    },
  };
}

/** A body that grows by less than this share has made no progress. */
const PROGRESS_SHARE = 1 / 8;
const PROGRESS_BYTES = 1_024;

/** Tells bodies that go on from those that trickle. */
export interface BodyProgress {
  /** Whether it has grown by enough since it last had. */
  isMade(length: number): boolean;
}

export function createProgress(): BodyProgress {
  let marked = 0;
  return {
    isMade(length) {
      const least = Math.max(PROGRESS_BYTES, PROGRESS_SHARE * marked);
      if (length < marked + least) return false;
      marked = length;
      return true;
    },
  };
}
