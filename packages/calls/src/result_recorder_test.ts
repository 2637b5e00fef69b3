import type { ClaimResultRecord } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Claim } from "./claim_store.ts";
import { createResultRecorder } from "./result_recorder.ts";

const UNKNOWN_STATE = { kind: "unknown", reason: "reset" } as const;

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

/** A claim store that can be made unreachable. */
function createClaims() {
  const recorded: string[] = [];
  const claims = {
    isUnreachable: false,
    recorded,
    async settle({ key }: Claim) {
      if (claims.isUnreachable) return false;
      recorded.push(key);
      return true;
    },
  };
  return claims;
}

describe("result recorder", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("records results when the store recovers", async () => {
    const claims = createClaims();
    claims.isUnreachable = true;
    const recorder = createResultRecorder({ claims });
    recorder.record(claimOf("r1"), UNKNOWN_STATE);
    await vi.advanceTimersByTimeAsync(60_000);
    expect(recorder.count()).toBe(1);
    claims.isUnreachable = false;
    await vi.advanceTimersByTimeAsync(5_000);
    expect([recorder.count(), claims.recorded]).toEqual([0, ["claims/r1"]]);
  });

  it("hands results over to an instance that keeps running", async () => {
    // An instance is replaced during a store outage. If its unrecorded results
    // were lost, callers that retry would get `outcome_unknown` for calls that
    // had been answered.
    const claims = createClaims();
    claims.isUnreachable = true;
    const leaving = createResultRecorder({ claims });
    const staying = createResultRecorder({ claims });
    leaving.record(claimOf("r1"), UNKNOWN_STATE);
    leaving.record(claimOf("r2"), UNKNOWN_STATE);
    await vi.advanceTimersByTimeAsync(0);
    expect(
      await leaving.handOver(async (result) => staying.adopt(result)),
    ).toBe(0);
    expect(leaving.count()).toBe(0);
    claims.isUnreachable = false;
    await vi.advanceTimersByTimeAsync(60_000);
    expect(claims.recorded.sort()).toEqual(["claims/r1", "claims/r2"]);
  });

  it("keeps results while no other instance accepts them", async () => {
    const claims = createClaims();
    claims.isUnreachable = true;
    const recorder = createResultRecorder({ claims });
    recorder.record(claimOf("r1"), UNKNOWN_STATE);
    expect(await recorder.handOver(async () => false)).toBe(1);
    claims.isUnreachable = false;
    const finished = recorder.finish(30_000);
    await vi.advanceTimersByTimeAsync(5_000);
    await finished;
    expect(claims.recorded).toEqual(["claims/r1"]);
  });

  it("limits the number of adopted results", () => {
    // In a long store outage, instances that stop one after another hand all
    // their results to the remaining ones, which must not run out of memory.
    const claims = createClaims();
    claims.isUnreachable = true;
    const recorder = createResultRecorder({ claims });
    const result: ClaimResultRecord = {
      ...claimOf("r1"),
      state: UNKNOWN_STATE,
    };
    const accepted = Array.from({ length: 1_200 }, () =>
      recorder.adopt(result),
    );
    expect(accepted.filter(Boolean)).toHaveLength(1_000);
  });
});
