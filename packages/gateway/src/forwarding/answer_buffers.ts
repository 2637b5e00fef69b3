/** Bounds the memory of answers that are read whole before they are sent. */
import type { ServerResponse } from "node:http";
import { createInterruptibleTimer } from "@rosemarypin/timing";
import { endlessAnswerError, type OpenAnswer } from "../backends/mod.ts";

const MEBIBYTE = 1_048_576;
const MAX_ANSWER_BYTES = 16 * MEBIBYTE;
/** Above this sum, answers that have more than the free bytes wait. */
const MAX_TOTAL_BYTES = 64 * MEBIBYTE;
const FREE_BYTES = 16_384;
const RECHECK_MS = 1_000;

export interface AnswerBuffers {
  /**
   * Reads a whole body; throws when it ends early or is too long. Its bytes
   * count until the response to the caller is closed.
   */
  read(
    answer: Pick<OpenAnswer, "body">,
    options: {
      readonly response: ServerResponse;
      readonly signal: AbortSignal;
    },
  ): Promise<Buffer>;
  heldBytes(): number;
}

export interface AnswerBufferOptions {
  readonly maxAnswerBytes?: number;
  readonly maxTotalBytes?: number;
  readonly freeBytes?: number;
}

interface Reader {
  bytes: number;
}

/** Creates the buffers of one instance. */
export function createAnswerBuffers({
  maxAnswerBytes = MAX_ANSWER_BYTES,
  maxTotalBytes = MAX_TOTAL_BYTES,
  freeBytes = FREE_BYTES,
}: AnswerBufferOptions = {}): AnswerBuffers {
  /** Answers that are being read, in the order of their beginnings. */
  const readers = new Set<Reader>();
  const waiting = new Set<() => void>();
  let heldBytes = 0;

  function release(bytes: number): void {
    heldBytes -= bytes;
    for (const wake of [...waiting]) wake();
  }

  /**
   * The oldest reader goes on if readers hold all bytes: else they could wait
   * for each other. Answers that are being sent release their bytes.
   */
  function mustWait(reader: Reader): boolean {
    if (reader.bytes <= freeBytes || heldBytes <= maxTotalBytes) return false;
    let readBytes = 0;
    for (const { bytes } of readers) readBytes += bytes;
    const [oldest] = readers;
    return reader !== oldest || readBytes < heldBytes;
  }

  async function waitForRoom(
    reader: Reader,
    signal: AbortSignal,
  ): Promise<void> {
    while (mustWait(reader) && !signal.aborted) {
      const timer = createInterruptibleTimer();
      waiting.add(timer.interrupt);
      await timer.wait(RECHECK_MS, signal);
      waiting.delete(timer.interrupt);
    }
  }

  return {
    heldBytes: () => heldBytes,
    async read({ body }, { response, signal }) {
      const reader: Reader = { bytes: 0 };
      const chunks: Buffer[] = [];
      readers.add(reader);
      let isRead = false;
      try {
        for await (const chunk of body) {
          reader.bytes += chunk.length;
          heldBytes += chunk.length;
          if (reader.bytes > maxAnswerBytes) throw endlessAnswerError("body");
          chunks.push(chunk);
          await waitForRoom(reader, signal);
        }
        isRead = !response.closed;
      } finally {
        readers.delete(reader);
        if (isRead) response.once("close", () => release(reader.bytes));
        else release(reader.bytes);
      }
      return Buffer.concat(chunks, reader.bytes);
    },
  };
}
