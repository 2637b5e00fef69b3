import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { waitForQuiet } from "./graceful_close.ts";

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
