import { createInstanceDomain } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startPresence } from "./presence.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

describe("the number of instances that may send requests", () => {
  // Guards against a limit of a server that the others share without an instance
  // that is leaving and goes on with its answers.
  it("includes one that is leaving until it has been silent", async () => {
    const domain = createInstanceDomain(
      async ({ name, address, store, signal }) =>
        startPresence({
          store,
          instance: name,
          failureDomain: "a",
          peer: address,
          signal,
        }),
    );
    for (const name of ["i-1", "i-2", "i-3"]) void domain.start(name);
    await vi.advanceTimersByTimeAsync(5_000);
    void domain.get("i-3").leave();
    await vi.advanceTimersByTimeAsync(8_000);
    const { countPossiblyLive } = domain.get("i-1");
    expect([countPossiblyLive(null), countPossiblyLive("a")]).toEqual([3, 3]);
    domain.kill("i-3");
    await vi.advanceTimersByTimeAsync(15_000);
    expect([countPossiblyLive(null), countPossiblyLive("a")]).toEqual([2, 2]);
    domain.end();
  });
});
