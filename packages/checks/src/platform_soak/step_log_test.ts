import { describe, expect, it } from "vitest";
import { createStepLog } from "./step_log.ts";

const HANGS = new Promise<never>(() => {});

describe("the step log", () => {
  // Guards against a run that times out without a hint at what it waited for.
  it("names the steps that keep a run from its end", async () => {
    const steps = createStepLog();
    const work = [
      steps.during("ends", Promise.resolve()),
      steps.during("hangs", HANGS),
      steps.during("hangs too", HANGS),
    ];
    await expect(steps.waitFor(Promise.all(work), 50)).rejects.toThrow(
      "in progress after 50 ms: hangs, hangs too",
    );
  });

  it("passes on results and errors", async () => {
    const steps = createStepLog();
    const done = steps.during("answers", Promise.resolve(7));
    expect(await steps.waitFor(done, 1_000)).toBe(7);
    const fails = steps.during("fails", Promise.reject(new Error("failed")));
    await expect(steps.waitFor(fails, 1_000)).rejects.toThrow("failed");
  });
});
