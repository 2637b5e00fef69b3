/** Writes log lines without blocking the process. */
import { write } from "node:fs";

/** Maximum total size of the queued lines. */
const MAX_PENDING_BYTES = 256 * 1024;
/**
 * Ordinary lines are dropped beyond this limit. The rest is reserved for
 * warnings, so that the cause of a refusal is not lost among other lines.
 */
const MAX_ORDINARY_BYTES = 160 * 1024;
/** Delay before a write that failed with `EAGAIN` is retried. */
const RETRY_DELAY_MS = 50;

/** Writes to a file descriptor, with the callback of `write` of `node:fs`. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

export interface LineWriter {
  /** Queues a line, or drops and counts it if the limit is reached. */
  line(text: string, options: { readonly isWarning: boolean }): void;
  /** Resolves when all lines are written, or after the timeout. */
  flush(timeoutMs: number): Promise<void>;
}

/**
 * Creates a writer to standard output. Node writes to a pipe synchronously: if
 * the reader hangs, the pipe fills up after 64 KB and the next line blocks the
 * whole process, with every answer in progress. This writer runs one write at a
 * time on the thread pool and queues other lines up to a limit. A line reports
 * how many were dropped.
 */
export function createLineWriter(
  writeBytes: WriteBytes = (bytes, done) => write(1, bytes, done),
): LineWriter {
  let pending: string[] = [];
  let pendingBytes = 0;
  let droppedLines = 0;
  let isWriting = false;

  function writePending(): void {
    if (isWriting || pending.length === 0) return;
    if (droppedLines > 0) {
      pending.push(`event=lines_left_out count=${droppedLines}\n`);
      droppedLines = 0;
    }
    const bytes = Buffer.from(pending.join(""));
    pending = [];
    pendingBytes = 0;
    send(bytes);
  }

  function send(bytes: Buffer): void {
    isWriting = true;
    writeBytes(bytes, (error, written) => {
      // `EAGAIN` means that the pipe is full. Any other error is treated as
      // final, as after the reader closed the pipe, and the bytes are dropped.
      const isPipeFull = error?.code === "EAGAIN";
      const remaining = error ? bytes : bytes.subarray(written);
      if (isPipeFull) {
        setTimeout(() => send(remaining), RETRY_DELAY_MS);
        return;
      }
      if (!error && remaining.length > 0) return send(remaining);
      isWriting = false;
      writePending();
    });
  }

  return {
    line(text, { isWarning }) {
      const maxBytes = isWarning ? MAX_PENDING_BYTES : MAX_ORDINARY_BYTES;
      if (pendingBytes + text.length > maxBytes) {
        droppedLines += 1;
        return;
      }
      pending.push(text);
      pendingBytes += text.length;
      // Lines of one turn of the event loop are combined into one write.
      if (!isWriting && pending.length === 1) setImmediate(writePending);
    },
    async flush(timeoutMs) {
      const deadline = performance.now() + timeoutMs;
      while (isWriting || pending.length > 0) {
        if (performance.now() > deadline) return;
        writePending();
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
  };
}
