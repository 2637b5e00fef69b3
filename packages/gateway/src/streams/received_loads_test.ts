import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createEngineTotals } from "./engine_totals.ts";
import type { LoadByEngine } from "./engine_usage.ts";
import { createReceivedLoads } from "./received_loads.ts";

const VALID_MS = 1_000;
const SENDERS = ["a", "b", "c"];
const ENGINES = ["e-0", "e-1", "e-2"];

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

const loadsOf = fc
  .dictionary(
    fc.constantFrom(...ENGINES),
    fc.record({ held: fc.nat(3), unread: fc.nat(3) }),
  )
  .map((loads): LoadByEngine => new Map(Object.entries(loads)));
const step = fc.record({
  afterMs: fc.constantFrom(0, 300, VALID_MS),
  sender: fc.constantFrom(...SENDERS),
  loads: loadsOf,
});

/** Sums the loads on one engine. */
function sumOn(engineId: string, reports: Iterable<LoadByEngine>) {
  let held = 0;
  let unread = 0;
  for (const loads of reports) {
    held += loads.get(engineId)?.held ?? 0;
    unread += loads.get(engineId)?.unread ?? 0;
  }
  return { held, unread };
}

function frees(loads: LoadByEngine, last: LoadByEngine | null): boolean {
  if (!last) return true;
  return [...last].some(([id, { held }]) => (loads.get(id)?.held ?? 0) < held);
}

describe("received loads", () => {
  // Guards against sums that drift from the reports, so that engines look full
  // or free for good, and against freed memory of which no one is told.
  it("keeps the sums of the valid reports, and finds what becomes free", () => {
    const property = fc.property(fc.array(step), (steps) => {
      const totals = createEngineTotals();
      const received = createReceivedLoads(totals.peers, VALID_MS);
      for (const { afterMs, sender, loads } of steps) {
        vi.advanceTimersByTime(afterMs);
        const last = received.get(sender);
        expect(received.record(sender, loads)).toBe(frees(loads, last));
        const valid = received.all();
        for (const engineId of ENGINES) {
          const { held, unread } = totals.get(engineId).peers;
          const sum = { held, unread };
          expect(sum).toEqual(sumOn(engineId, valid));
        }
      }
    });
    fc.assert(property);
  });
});
