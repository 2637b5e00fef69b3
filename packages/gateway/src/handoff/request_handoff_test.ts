import { expect, it } from "vitest";
import { hasReachedServer } from "./request_handoff.ts";

// Guards against a retry that is returned to the budget though a server rejected
// it at the instance that helped.
it("a request that was handed off has reached a server if one refused it", () => {
  const ends = [
    { kind: "unavailable" },
    { kind: "refused", reason: "no_room" },
    { kind: "refused", reason: "refused_503" },
    { kind: "broken", detail: "reset" },
    { kind: "answer" },
  ];
  expect(ends.map(hasReachedServer)).toEqual([false, false, true, true, true]);
});
