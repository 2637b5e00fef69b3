import type { ClaimEnd } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Claim } from "./claim_store.ts";
import { createEndRecorder } from "./result_recorder.ts";

const END = { kind: "unknown", reason: "reset" } as const;

function claimOf(requestId: string): Claim {
  const object = {
    requestId,
    owner: "one",
    incarnation: 1,
    fingerprint: "f",
    claimedAt: 0,
    state: { kind: "claimed" as const },
  };
  return { key: `claims/${requestId}`, object, version: 1 };
}

/** A store of claims that can be away. */
function createClaims() {
  const recorded: string[] = [];
  const claims = {
    isAway: false,
    recorded,
    async settle({ key }: Claim) {
      if (claims.isAway) return false;
      recorded.push(key);
      return true;
    },
  };
  return claims;
}

describe("the ends of calls", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("are recorded once the store is back", async () => {
    const claims = createClaims();
    claims.isAway = true;
    const ends = createEndRecorder({ claims });
    ends.record(claimOf("r1"), END);
    await vi.advanceTimersByTimeAsync(60_000);
    expect(ends.count()).toBe(1);
    claims.isAway = false;
    await vi.advanceTimersByTimeAsync(5_000);
    expect([ends.count(), claims.recorded]).toEqual([0, ["claims/r1"]]);
  });

  it("go to another instance that keeps them after this one", async () => {
    // An instance is replaced in an outage of the store. The ends it holds
    // were lost with it, and callers that came again heard `outcome_unknown`
    // for calls whose answer had been known.
    const claims = createClaims();
    claims.isAway = true;
    const leaving = createEndRecorder({ claims });
    const staying = createEndRecorder({ claims });
    leaving.record(claimOf("r1"), END);
    leaving.record(claimOf("r2"), END);
    await vi.advanceTimersByTimeAsync(0);
    expect(await leaving.handOver(async (end) => staying.adopt(end))).toBe(0);
    expect(leaving.count()).toBe(0);
    claims.isAway = false;
    await vi.advanceTimersByTimeAsync(60_000);
    expect(claims.recorded.sort()).toEqual(["claims/r1", "claims/r2"]);
  });

  it("stay here while no other instance takes them", async () => {
    const claims = createClaims();
    claims.isAway = true;
    const ends = createEndRecorder({ claims });
    ends.record(claimOf("r1"), END);
    expect(await ends.handOver(async () => false)).toBe(1);
    claims.isAway = false;
    const finished = ends.finish(30_000);
    await vi.advanceTimersByTimeAsync(5_000);
    await finished;
    expect(claims.recorded).toEqual(["claims/r1"]);
  });

  it("are not taken over without bound", () => {
    // Instances that stop one after the other in a long outage hand all that
    // they hold to those that stay; one must not fill its memory with them.
    const claims = createClaims();
    claims.isAway = true;
    const ends = createEndRecorder({ claims });
    const end: ClaimEnd = { ...claimOf("r1"), state: END };
    const taken = Array.from({ length: 1_200 }, () => ends.adopt(end));
    expect(taken.filter(Boolean)).toHaveLength(1_000);
  });
});
