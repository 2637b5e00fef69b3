/**
 * Collects a body. What a parser passes on is copied at once: each part may be a
 * byte, and as an object of its own it costs over a hundred.
 */

const FIRST_BYTES = 1_024;

export interface BodyBuffer {
  /** Bytes of the body so far. */
  length(): number;
  /** Bytes by which its memory grows when so many are added. */
  growthFor(bytes: number): number;
  add(part: Buffer): void;
  /** The body, which must not be added to any more. */
  content(): Buffer;
}

/** Creates an empty one for at most `limitBytes`. */
export function createBodyBuffer(limitBytes: number): BodyBuffer {
  let buffer = Buffer.alloc(0);
  let length = 0;

  function capacityFor(bytes: number): number {
    if (length + bytes <= buffer.length) return buffer.length;
    const doubled = Math.max(FIRST_BYTES, 2 * buffer.length);
    return Math.max(length + bytes, Math.min(doubled, limitBytes));
  }

  return {
    length: () => length,
    growthFor: (bytes) => capacityFor(bytes) - buffer.length,
    add(part) {
      const capacity = capacityFor(part.length);
      if (capacity > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(capacity);
        buffer.copy(grown, 0, 0, length);
        buffer = grown;
      }
      part.copy(buffer, length);
      length += part.length;
    },
    content: () => buffer.subarray(0, length),
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
