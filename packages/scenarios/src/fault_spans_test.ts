import { expect, it } from "vitest";
import { endByStart } from "./fault_spans.ts";

/**
 * In the soak (seed 1, 7 rounds) a booking server left, was killed and was
 * started again. Later it was killed and started once more. The second start
 * was taken for the end of the leaving, so all that the sound server had done
 * in between counted as work of a server that leaves.
 */
it("ends a fault by the first start after it only", () => {
  const fault = { at: 0, startedAgainAt: Infinity };
  const seen = {
    kills: [{ instance: "dealer-app-2", ...fault }],
    leavings: [
      { server: "dealer-app-2", ...fault },
      { server: "dealer-app-1", ...fault },
    ],
  };
  endByStart("dealer-app-2", { seen, at: 25 });
  seen.kills.push({
    instance: "dealer-app-2",
    at: 44,
    startedAgainAt: Infinity,
  });
  endByStart("dealer-app-2", { seen, at: 45 });
  expect(seen.kills.map((kill) => kill.startedAgainAt)).toEqual([25, 45]);
  expect(seen.leavings.map((left) => left.startedAgainAt)).toEqual([
    25,
    Infinity,
  ]);
});
