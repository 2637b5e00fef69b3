/** Collects the chunks of a stream without copying all bytes for each chunk. */

export interface GrowingBuffer {
  append(chunk: Buffer): void;
  /** Removes bytes at the beginning. */
  dropFirst(count: number): void;
  /** A view of the bytes, which later calls don't change. */
  bytes(): Buffer;
}

const GROWTH = 1.5;

/** Creates an empty buffer. */
export function createGrowingBuffer(): GrowingBuffer {
  let storage: Buffer = Buffer.alloc(0);
  let start = 0;
  let end = 0;
  /** Whether there may be room in the storage, unlike in that of a chunk. */
  let isOwnStorage = false;

  function grow(addedBytes: number): void {
    const neededBytes = end - start + addedBytes;
    const grown = Buffer.allocUnsafe(Math.ceil(GROWTH * neededBytes));
    storage.copy(grown, 0, start, end);
    storage = grown;
    end -= start;
    start = 0;
    isOwnStorage = true;
  }

  return {
    append(chunk) {
      if (start === end) {
        storage = chunk;
        start = 0;
        end = chunk.length;
        isOwnStorage = false;
        return;
      }
      if (!isOwnStorage || end + chunk.length > storage.length)
        grow(chunk.length);
      chunk.copy(storage, end);
      end += chunk.length;
    },
    dropFirst(count) {
      start += count;
    },
    bytes: () => storage.subarray(start, end),
  };
}
