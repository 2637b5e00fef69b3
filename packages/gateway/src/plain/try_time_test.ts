import { expect, it } from "vitest";
import { tryTimeMs } from "./try_time.ts";

it("is half the time left when that is long", () => {
  expect(tryTimeMs({ leftMs: 8_000, objectiveMs: 300 })).toBe(4_000);
});

it("is two objectives at least: a slow server is not a lost one", () => {
  expect(tryTimeMs({ leftMs: 1_000, objectiveMs: 300 })).toBe(600);
});

it("leaves the next server a quarter of the time", () => {
  // A server hangs. Two objectives are nearly all the time that is left: the
  // next one answers too late on a machine that is merely busy.
  expect(tryTimeMs({ leftMs: 2_400, objectiveMs: 1_000 })).toBe(1_800);
});
