import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createWarmUp } from "./warm_up.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it("warm-up lets a caller wait until the first read of the store", async () => {
  let isWarm = false;
  const warmUp = createWarmUp(() => isWarm);
  let waited = 0;
  const waiting = warmUp().then(() => {
    waited = performance.now();
  });
  const startedAt = performance.now();
  await vi.advanceTimersByTimeAsync(55);
  isWarm = true;
  await vi.advanceTimersByTimeAsync(20);
  await waiting;
  expect(waited - startedAt).toBe(60);
});

it("warm-up ends after 400 ms when the store is unreachable", async () => {
  const warmUp = createWarmUp(() => false);
  const startedAt = performance.now();
  const waiting = warmUp();
  await vi.advanceTimersByTimeAsync(400);
  await waiting;
  expect(performance.now() - startedAt).toBe(400);
  await warmUp();
});
