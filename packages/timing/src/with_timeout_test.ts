import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { pause } from "./pause.ts";
import { withTimeout } from "./with_timeout.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Resolves to the reason for which the signal is aborted. */
function reasonOfAbort(signal: AbortSignal): Promise<unknown> {
  return pause(60_000, signal).then(() => signal.reason);
}

describe("a task with a timeout", () => {
  it("is aborted after its timeout", async () => {
    const { signal } = new AbortController();
    const reason = withTimeout({ timeoutMs: 100, signal }, reasonOfAbort);
    await vi.advanceTimersByTimeAsync(99);
    expect(vi.getTimerCount()).toBe(2);
    await vi.advanceTimersByTimeAsync(1);
    expect(await reason).toMatchObject({ name: "TimeoutError" });
  });

  it("goes on after its timeout until it may be aborted", async () => {
    const { signal } = new AbortController();
    let mayAbort = false;
    const reason = withTimeout(
      { timeoutMs: 100, signal, mayAbort: () => mayAbort },
      reasonOfAbort,
    );
    await vi.advanceTimersByTimeAsync(250);
    expect(vi.getTimerCount()).toBe(2);
    mayAbort = true;
    await vi.advanceTimersByTimeAsync(50);
    expect(await reason).toMatchObject({ name: "TimeoutError" });
  });

  it("is aborted with its signal", async () => {
    const stop = new AbortController();
    const { signal } = stop;
    const reason = withTimeout({ timeoutMs: 100, signal }, reasonOfAbort);
    stop.abort("stopped");
    expect(await reason).toBe("stopped");
    expect(vi.getTimerCount()).toBe(0);
  });

  it("leaves no timer when it fails", async () => {
    const { signal } = new AbortController();
    const failing = withTimeout({ timeoutMs: 100, signal }, () =>
      Promise.reject(new Error("failed")),
    );
    await expect(failing).rejects.toThrow("failed");
    expect(vi.getTimerCount()).toBe(0);
  });
});
