import { expect, it } from "vitest";
import { createBodyBuffer, createProgress } from "./body_buffer.ts";

const LIMIT = 100_000;

// Guards against parts of a byte that each cost an object.
it("holds none of its parts", () => {
  const body = createBodyBuffer(LIMIT);
  const part = Buffer.from("x");
  for (let count = 0; count < LIMIT; count += 1) body.add(part);
  part.fill("y");
  expect(body.content()).toEqual(Buffer.alloc(LIMIT, "x"));
});

// Guards against memory that is taken and not counted.
it("grows by what it tells, at most to its limit and to twice its content", () => {
  const body = createBodyBuffer(LIMIT);
  let bytes = 0;
  for (const length of [1, 5_000, 3, 20_000, 60_000, 14_996]) {
    bytes += body.growthFor(length);
    body.add(Buffer.alloc(length));
    expect(bytes).toBeGreaterThanOrEqual(body.length());
    expect(bytes).toBeLessThanOrEqual(Math.max(1_024, 2 * body.length()));
  }
  expect(bytes).toBe(LIMIT);
});

// Guards against bodies that trickle and count as going on.
it("tells progress from a byte now and then", () => {
  const progress = createProgress();
  expect(progress.isMade(2_000)).toBe(true);
  expect(progress.isMade(2_001)).toBe(false);
  expect(progress.isMade(3_024)).toBe(true);
});
