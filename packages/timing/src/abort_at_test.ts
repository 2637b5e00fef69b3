import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { abortAt } from "./abort_at.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

// Guards against a request that ends at its deadline and counts as ended before.
it("doesn't abort before its time though its timer fires early", () => {
  const controller = new AbortController();
  const startedAt = performance.now();
  const clock = vi.spyOn(performance, "now");
  abortAt(controller, startedAt + 300);
  clock.mockReturnValue(startedAt + 299.4);
  vi.advanceTimersByTime(300);
  expect(controller.signal.aborted).toBe(false);
  clock.mockReturnValue(startedAt + 300.4);
  vi.advanceTimersByTime(1);
  expect(controller.signal.aborted).toBe(true);
  clock.mockRestore();
});

it("doesn't abort once it is stopped", () => {
  const controller = new AbortController();
  abortAt(controller, performance.now() + 300)();
  vi.advanceTimersByTime(400);
  expect(controller.signal.aborted).toBe(false);
});
