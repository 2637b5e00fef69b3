/** Callers that keep to no limits: many connections that send the same. */
import { connect, type Socket } from "node:net";

/** What each connection of a crowd sends, and how it goes on. */
export interface CrowdKind {
  readonly what: string;
  readonly connections: number;
  /** Sent first. */
  readonly opening: string;
  /** Sent `repeats` times after the opening. */
  readonly unit: string;
  readonly repeats: number;
  /** Pause between two units; they are sent as fast as possible without it. */
  readonly everyMs?: number;
  /** One in so many connections leaves right after its opening. */
  readonly leavesEvery?: number;
  /** Whether it ends its side once all is sent, and stays connected. */
  readonly endsItsSide?: boolean;
  /** Bytes a second that it reads of its answers; none by default. */
  readonly readsPerSecond?: number;
}

export interface Crowd {
  /** Connections that it has opened so far. */
  opened(): number;
  leave(): Promise<void>;
}

/** Bytes that are written at once. */
const WRITE_BYTES = 65_536;
/** Pause before a connection that was closed is opened again. */
const RETURN_MS = 200;

/** Sends a crowd to a port of loopback; it stays until it is asked to leave. */
export function sendCrowd(kind: CrowdKind, port: number): Crowd {
  const sockets = new Set<Socket>();
  const timers = new Set<NodeJS.Timeout>();
  let hasLeft = false;
  let opened = 0;
  const { unit, everyMs, repeats } = kind;
  const unitsAtOnce =
    everyMs === undefined
      ? Math.max(1, Math.floor(WRITE_BYTES / Math.max(1, unit.length)))
      : 1;
  const block = Buffer.from(unit.repeat(Math.min(unitsAtOnce, repeats)));

  function later(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      if (!hasLeft) run();
    }, ms);
    timers.add(timer);
  }

  function open(index: number): void {
    opened += 1;
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.once("close", () => {
      sockets.delete(socket);
      later(RETURN_MS, () => open(index));
    });
    if (kind.readsPerSecond) readSlowly(socket, kind.readsPerSecond);
    socket.write(kind.opening, () => {
      const leaves = kind.leavesEvery && index % kind.leavesEvery === 0;
      if (leaves) socket.destroy();
      else sendUnits(socket, repeats);
    });
  }

  function sendUnits(socket: Socket, left: number): void {
    if (socket.destroyed || hasLeft) return;
    if (left <= 0) {
      if (kind.endsItsSide) socket.end();
      return;
    }
    const count = Math.min(left, unitsAtOnce);
    const bytes = block.subarray(0, count * unit.length);
    socket.write(bytes, () => {
      if (everyMs === undefined) sendUnits(socket, left - count);
      else later(everyMs, () => sendUnits(socket, left - count));
    });
  }

  function readSlowly(socket: Socket, bytesPerSecond: number): void {
    socket.once("readable", () => {
      const timer = setInterval(() => {
        if (socket.destroyed) clearInterval(timer);
        else socket.read(bytesPerSecond);
      }, 1_000);
      timers.add(timer);
    });
  }

  for (let index = 0; index < kind.connections; index += 1) open(index);

  return {
    opened: () => opened,
    async leave() {
      hasLeft = true;
      for (const timer of timers) clearInterval(timer);
      const closes = [...sockets].map(
        (socket) =>
          new Promise((resolve) => {
            socket.once("close", resolve);
            socket.destroy();
          }),
      );
      await Promise.all(closes);
    },
  };
}

/** One byte of a chunked body, in a chunk of its own. */
export const ONE_BYTE_CHUNK = "1\r\nx\r\n";

/** A chunk of so many bytes. */
export function chunkOf(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
}
