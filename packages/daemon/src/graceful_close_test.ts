import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { closeRest, waitForQuiet } from "./graceful_close.ts";
import { createWorkInProgress } from "./work_in_progress.ts";

describe("waiting for a late balancer", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function wait() {
    const server = new EventEmitter();
    const ended = vi.fn();
    void waitForQuiet(server as never, { quietMs: 300, withinMs: 5_000 }).then(
      ended,
    );
    return { server, ended };
  }

  it("goes on while requests come", async () => {
    // The balancer has not seen the drain in its lag and sends on. Were the
    // connections closed now, its next request would meet a reset.
    const { server, ended } = wait();
    for (let turn = 0; turn < 5; turn++) {
      await vi.advanceTimersByTimeAsync(200);
      server.emit("request");
    }
    expect(ended).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(300);
    expect(ended).toHaveBeenCalledOnce();
  });

  it("ends within its limit, however many requests come", async () => {
    const { server, ended } = wait();
    for (let turn = 0; turn < 30; turn++) {
      await vi.advanceTimersByTimeAsync(200);
      server.emit("request");
    }
    expect(ended).toHaveBeenCalledOnce();
    expect(server.listenerCount("request")).toBe(0);
    expect(vi.getTimerCount()).toBe(0);
  });
});

/** A promise that the test resolves. */
function createGate() {
  let resolve = () => {};
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, resolve };
}

describe("closing what is still open", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function close(withinMs: number) {
    const server = { closeAll: vi.fn(), unanswered: () => [] };
    const closed = createGate();
    server.closeAll.mockImplementation(closed.resolve);
    const work = createWorkInProgress();
    const ended = vi.fn();
    const { promise } = closed;
    const rest = { closed: promise, work, withinMs };
    void closeRest(server, rest).then(ended);
    return { server, work, ended, closed };
  }

  it("lets a request end that came on a kept connection after the others", async () => {
    // All answers have ended, and the process is about to stop. A balancer
    // under load sends one more request on a connection that was not closed
    // yet. Its answer begins, and takes longer than last bytes may take: cut
    // then, its caller saw the connection end before the first token.
    const { server, work, ended, closed } = close(20_000);
    const end = work.begin();
    await vi.advanceTimersByTimeAsync(6_000);
    expect(server.closeAll).not.toHaveBeenCalled();
    end();
    closed.resolve();
    await vi.advanceTimersByTimeAsync(0);
    expect(ended).toHaveBeenCalledWith(true);
    expect(server.closeAll).not.toHaveBeenCalled();
  });

  it("cuts connections without work after the time for last bytes", async () => {
    const { server, ended } = close(20_000);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(server.closeAll).toHaveBeenCalledOnce();
    expect(ended).toHaveBeenCalledWith(true);
  });

  it("cuts work that outlasts the grace time, and says so", async () => {
    const { server, work, ended } = close(5_000);
    work.begin();
    await vi.advanceTimersByTimeAsync(5_000);
    expect(server.closeAll).toHaveBeenCalledOnce();
    expect(ended).toHaveBeenCalledWith(false);
  });
});
