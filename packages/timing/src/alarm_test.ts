import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createAlarm } from "./alarm.ts";

const RUNNING = new AbortController().signal;

describe("alarm", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("ends a wait after its time", async () => {
    const ended = vi.fn();
    void createAlarm().wait(100, RUNNING).then(ended);
    await vi.advanceTimersByTimeAsync(99);
    expect(ended).not.toHaveBeenCalled();
    await vi.advanceTimersByTimeAsync(1);
    expect(ended).toHaveBeenCalledOnce();
  });

  it("ends a wait on ring and leaves no timer", async () => {
    const alarm = createAlarm();
    const waiting = alarm.wait(100, RUNNING);
    alarm.ring();
    await waiting;
    expect(vi.getTimerCount()).toBe(0);
  });

  it("ignores a ring before the wait", async () => {
    const alarm = createAlarm();
    alarm.ring();
    const ended = vi.fn();
    void alarm.wait(100, RUNNING).then(ended);
    await vi.advanceTimersByTimeAsync(50);
    expect(ended).not.toHaveBeenCalled();
  });

  it("does not wait if the signal is already aborted", async () => {
    await createAlarm().wait(100, AbortSignal.abort());
    expect(vi.getTimerCount()).toBe(0);
  });
});
