import { expect, it } from "vitest";
import { tryTimeoutMs } from "./try_timeout.ts";

it("try timeout is half the remaining time if that is long", () => {
  expect(tryTimeoutMs({ leftMs: 8_000, objectiveMs: 300 })).toBe(4_000);
});

it("try timeout is at least two objectives, for servers that are slow", () => {
  expect(tryTimeoutMs({ leftMs: 1_000, objectiveMs: 300 })).toBe(600);
});

it("try timeout leaves a quarter of the time to the next server", () => {
  // A server hangs, and two objectives are nearly all of the remaining time.
  // Without the reserve, the next server would answer after the deadline as
  // soon as its machine is busy.
  expect(tryTimeoutMs({ leftMs: 2_400, objectiveMs: 1_000 })).toBe(1_800);
});
