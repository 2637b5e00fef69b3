/** Writes log lines without ever holding up the process. */
import { write } from "node:fs";

/** Lines that wait to be written take at most so many bytes. */
const MOST_WAITING_BYTES = 256 * 1024;
/**
 * Of these, ordinary lines may take so many; the rest is kept for warnings,
 * so that the cause of a refusal is not lost among lines of normal running.
 */
const MOST_ORDINARY_BYTES = 160 * 1024;
/** Pause before a descriptor that takes nothing is tried again. */
const RETRY_MS = 50;

/** Writes to a file descriptor; as `write` of `node:fs`, for tests. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

export interface LineWriter {
  /** Takes a line in, or counts it as left out when too much waits. */
  line(text: string, options: { readonly isWarning: boolean }): void;
  /** Resolves when all is written, or after the time. */
  flush(longestMs: number): Promise<void>;
}

/**
 * Creates a writer to standard output. Node writes to a pipe synchronously:
 * when its reader stands still, the pipe fills up after 64 KB and the next
 * line stops the whole process, with every answer in progress. Here one write
 * at a time goes through the thread pool; what comes meanwhile waits within a
 * bound, and a line tells how many were left out beyond it.
 */
export function createLineWriter(
  writeBytes: WriteBytes = (bytes, done) => write(1, bytes, done),
): LineWriter {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let leftOut = 0;
  let isWriting = false;

  function pump(): void {
    if (isWriting || waiting.length === 0) return;
    if (leftOut > 0) {
      waiting.push(`event=lines_left_out count=${leftOut}\n`);
      leftOut = 0;
    }
    const bytes = Buffer.from(waiting.join(""));
    waiting = [];
    waitingBytes = 0;
    send(bytes);
  }

  function send(bytes: Buffer): void {
    isWriting = true;
    writeBytes(bytes, (error, written) => {
      // The reader takes nothing at the moment; anything else is final, as
      // nobody is left to read.
      const isBusy = error?.code === "EAGAIN";
      const rest = error ? bytes : bytes.subarray(written);
      if (isBusy) {
        setTimeout(() => send(rest), RETRY_MS);
        return;
      }
      if (!error && rest.length > 0) return send(rest);
      isWriting = false;
      pump();
    });
  }

  return {
    line(text, { isWarning }) {
      const most = isWarning ? MOST_WAITING_BYTES : MOST_ORDINARY_BYTES;
      if (waitingBytes + text.length > most) {
        leftOut += 1;
        return;
      }
      waiting.push(text);
      waitingBytes += text.length;
      // Lines of one turn of the event loop go out in one write.
      if (!isWriting && waiting.length === 1) setImmediate(pump);
    },
    async flush(longestMs) {
      const endsAt = performance.now() + longestMs;
      while (isWriting || waiting.length > 0) {
        if (performance.now() > endsAt) return;
        pump();
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
  };
}
