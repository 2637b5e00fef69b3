import { EventEmitter } from "node:events";
import type { Server } from "node:http";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { closeUnreadAnswers } from "./unread_answers.ts";

const LONG_MS = 60_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function openSocket(server: EventEmitter) {
  const socket = Object.assign(new EventEmitter(), {
    writableLength: 0,
    destroy: vi.fn(),
  });
  server.emit("connection", socket);
  return socket;
}

// Guards against answers that stay in memory because nobody reads them.
it("closes a connection whose answer isn't read, and no other", () => {
  const server = new EventEmitter();
  closeUnreadAnswers(server as Server);
  const [unread, idle, slow] = [1, 2, 3].map(() => openSocket(server));
  if (!unread || !idle || !slow) throw new Error("no socket");
  unread.writableLength = 50_000;
  slow.writableLength = 50_000;
  const reading = setInterval(() => {
    slow.writableLength -= 1_000;
  }, 5_000);
  vi.advanceTimersByTime(LONG_MS);
  clearInterval(reading);
  expect(unread.destroy).toHaveBeenCalled();
  expect(idle.destroy).not.toHaveBeenCalled();
  expect(slow.destroy).not.toHaveBeenCalled();
  server.emit("close");
});
