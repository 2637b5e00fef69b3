import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { type AcceptBacklog, createAcceptBacklog } from "./accept_backlog.ts";

const CALLERS = 20;
const TURN_MS = 10;

let backlog: AcceptBacklog;
/** What the backlog says at each accepted connection. */
let waitingMs: number[];
const server = createServer((socket) => {
  backlog.recordAccepted();
  waitingMs.push(backlog.waitingMs());
  socket.destroy();
  const endsAt = performance.now() + TURN_MS;
  while (performance.now() < endsAt);
});

beforeEach(async () => {
  backlog = createAcceptBacklog();
  waitingMs = [];
  await once(server.listen(0, "127.0.0.1"), "listening");
});

afterEach(() => {
  backlog.stop();
  server.close();
  vi.restoreAllMocks();
});

async function callAtOnce(callers: number): Promise<void> {
  const { port } = server.address() as AddressInfo;
  const closed = Array.from({ length: callers }, () =>
    once(connect(port, "127.0.0.1").resume(), "close"),
  );
  await Promise.all(closed);
}

it("grows while each turn finds a connection to accept", async () => {
  await callAtOnce(CALLERS);
  expect(waitingMs).toHaveLength(CALLERS);
  expect(waitingMs.at(-1)).toBeGreaterThanOrEqual((CALLERS - 1) * TURN_MS);
});

it("is empty after a turn that has found none", async () => {
  await callAtOnce(CALLERS);
  await nextTurn();
  await nextTurn();
  expect(backlog.waitingMs()).toBe(0);
  await callAtOnce(1);
  expect(waitingMs.at(-1)).toBe(0);
});

it("counts a pause of the process in part only", () => {
  const clock = vi.spyOn(performance, "now").mockReturnValue(1_000);
  backlog.recordAccepted();
  clock.mockReturnValue(6_000);
  backlog.recordAccepted();
  expect(backlog.waitingMs()).toBeLessThanOrEqual(200);
});
