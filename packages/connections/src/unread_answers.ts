/** Closes connections whose callers have stopped to read their answers. */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { closeConnection } from "./close_cause.ts";

const CHECK_INTERVAL_MS = 5_000;
/** Time for which what is written may stay as it is. */
const STALL_MS = 30_000;

interface Output {
  /** Bytes that are written and not sent. */
  bytes: number;
  unchangedMs: number;
}

/** Checks the server's connections until it is closed. */
export function closeUnreadAnswers(server: Server): void {
  const outputs = new Map<Socket, Output>();
  server.on("connection", (socket: Socket) => {
    outputs.set(socket, { bytes: 0, unchangedMs: 0 });
    socket.once("close", () => outputs.delete(socket));
  });
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  server.once("close", () => clearInterval(timer));

  function check(): void {
    for (const [socket, output] of outputs) {
      const { writableLength } = socket;
      const isUnread = writableLength > 0 && writableLength >= output.bytes;
      output.unchangedMs = isUnread
        ? output.unchangedMs + CHECK_INTERVAL_MS
        : 0;
      output.bytes = writableLength;
      if (output.unchangedMs > STALL_MS) closeConnection(socket, "slow_reader");
    }
  }
}
