import { describe, expect, it } from "vitest";
import { runLogPipe } from "./log_pipe_run.ts";

/** Their lines take about 500 KB, and the pipe takes 64. */
const REQUESTS = 1_000;

describe("an instance whose log nobody reads", () => {
  it("answers every request", async () => {
    // The log collector hangs and its pipe is full. A process that writes to
    // it and waits stands still, with every request in progress.
    const result = await runLogPipe({
      durationMs: 0,
      leastAnswered: REQUESTS,
      callers: 16,
      readsOutput: false,
    });
    expect(result.failed).toBe(0);
    expect(result.answered).toBeGreaterThanOrEqual(REQUESTS);
  });
});
