import { describe, expect, it } from "vitest";
import { runHistory, sizeOf } from "./history.ts";
import { isBroken, judge, type Told } from "./judge.ts";

const HISTORIES = 100;

describe("seeded histories of bookings", () => {
  it("hold, and come out the same for the same seed", async () => {
    for (let seed = 1; seed <= HISTORIES; seed++) {
      const result = await runHistory(sizeOf(seed));
      expect({ seed, broken: isBroken(result) }).toEqual({
        seed,
        broken: false,
      });
    }
    const [first, second] = [
      await runHistory(sizeOf(7)),
      await runHistory(sizeOf(7)),
    ];
    expect(first.events).toEqual(second.events);
  });
});

describe("the judge", () => {
  const run = { key: "k", requestId: "r1", body: "part 7", number: 1 };
  const refused: Told = {
    key: "k",
    requestId: "r1",
    body: "part 7",
    last: false,
    result: {
      kind: "failed",
      failure: { outcome: "not_run", code: "x", message: "x", status: 503 },
    },
  };

  it("finds a double run", () => {
    const verdict = judge([run, { ...run, requestId: "r2", number: 2 }], []);
    expect(verdict.doubleRuns).toBe(1);
    expect(isBroken(verdict)).toBe(true);
  });

  it("finds an untrue not_run", () => {
    expect(judge([run], [refused]).falseNotRun).toBe(1);
    expect(judge([run], [{ ...refused, requestId: "r2" }]).falseNotRun).toBe(0);
  });
});
