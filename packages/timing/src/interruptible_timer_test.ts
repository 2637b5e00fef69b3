import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createInterruptibleTimer } from "./interruptible_timer.ts";

const RUNNING = new AbortController().signal;

describe("interruptible timer", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("ends a wait after its time", async () => {
    const ended = vi.fn();
    void createInterruptibleTimer().wait(100, RUNNING).then(ended);
    await vi.advanceTimersByTimeAsync(99);
    expect(ended).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(1);
    expect(ended).toHaveBeenCalledOnce();
  });

  it("ends a wait on interrupt and leaves no timer", async () => {
    const timer = createInterruptibleTimer();
    const waiting = timer.wait(100, RUNNING);
    timer.interrupt();
    await waiting;
    expect(vi.getTimerCount()).toBe(0);
  });

  it("ignores an interrupt before the wait", async () => {
    const timer = createInterruptibleTimer();
    timer.interrupt();
    const ended = vi.fn();
    void timer.wait(100, RUNNING).then(ended);
    await vi.advanceTimersByTimeAsync(50);
    expect(ended).not.toHaveBeenCalled();
  });

  it("does not wait if the signal is already aborted", async () => {
    await createInterruptibleTimer().wait(100, AbortSignal.abort());
    expect(vi.getTimerCount()).toBe(0);
  });
});
