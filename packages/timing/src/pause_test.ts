import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { pause } from "./pause.ts";

describe("pause", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("resolves after its time", async () => {
    const ended = vi.fn();
    void pause(100).then(ended);
    await vi.advanceTimersByTimeAsync(99);
    expect(ended).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(1);
    expect(ended).toHaveBeenCalledOnce();
  });

  it("resolves early and leaves no timer when its signal is aborted", async () => {
    const stop = new AbortController();
    const waiting = pause(100, stop.signal);
    stop.abort();
    await waiting;
    expect(vi.getTimerCount()).toBe(0);
  });

  it("sets no timer if its signal is already aborted", async () => {
    await pause(100, AbortSignal.abort());
    expect(vi.getTimerCount()).toBe(0);
  });
});
