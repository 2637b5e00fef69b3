import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { pause } from "./pause.ts";

describe("a pause", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("ends when its time is over", async () => {
    const ended = vi.fn();
    void pause(100).then(ended);
    await vi.advanceTimersByTimeAsync(99);
    expect(ended).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(1);
    expect(ended).toHaveBeenCalledOnce();
  });

  it("ends early, and leaves no timer, when its signal is aborted", async () => {
    const stop = new AbortController();
    const waiting = pause(100, stop.signal);
    stop.abort();
    await waiting;
    expect(vi.getTimerCount()).toBe(0);
  });

  it("does not begin when its signal was aborted before", async () => {
    await pause(100, AbortSignal.abort());
    expect(vi.getTimerCount()).toBe(0);
  });
});
