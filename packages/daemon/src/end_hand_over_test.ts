import { createResultRecorder } from "@rosemarypin/calls";
import type { Member, PeerResult } from "@rosemarypin/membership";
import type { ClaimObject } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { fakeMember } from "./contract/fake_parts.ts";
import { endHandOverMethods, finishEnds } from "./end_hand_over.ts";

const CLAIM: ClaimObject = {
  requestId: "r1",
  owner: "one",
  incarnation: 1,
  fingerprint: "f",
  claimedAt: 0,
  state: { kind: "claimed" },
};

/** An instance that holds one end while the store is away. */
function createStopping(members: readonly Member[]) {
  const kept: string[] = [];
  const asked: number[] = [];
  const staying = createResultRecorder({
    claims: {
      async settle({ key }) {
        kept.push(key);
        return true;
      },
    },
  });
  const ends = createResultRecorder({ claims: { settle: async () => false } });
  ends.record(
    { key: "claims/r1", object: CLAIM, version: 1 },
    { kind: "unknown", reason: "reset" },
  );
  const methods = endHandOverMethods(staying);
  let isFirstSilent = false;
  const options = {
    ends,
    membership: { peers: () => members },
    peers: {
      async call(
        { port }: { port: number },
        method: string,
        { params }: { params?: unknown } = {},
      ): Promise<PeerResult> {
        asked.push(port);
        if (isFirstSilent && asked.length === 1) {
          return { kind: "unreachable", detail: "silent" };
        }
        const handler = methods[method as keyof typeof methods];
        return { kind: "ok", value: handler(params) };
      },
    },
    withinMs: 30_000,
  };
  const silenceFirst = () => {
    isFirstSilent = true;
  };
  return { kept, asked, ends, options, silenceFirst };
}

describe("a planned stop in an outage of the store", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  async function stop(options: Parameters<typeof finishEnds>[0]) {
    const ended = finishEnds(options);
    await vi.advanceTimersByTimeAsync(31_000);
    return ended;
  }

  it("leaves what is not recorded to an instance that stays", async () => {
    // The end of an order is known and cannot be written. The instance waited
    // its whole grace time, stopped with 3, and the end was lost with it.
    const { kept, asked, options } = createStopping([
      fakeMember(1, true),
      fakeMember(2),
    ]);
    expect(await stop(options)).toBe(true);
    expect([kept, asked]).toEqual([["claims/r1"], [2]]);
  });

  it("asks the next instance when one is silent", async () => {
    const { kept, asked, options, silenceFirst } = createStopping([
      fakeMember(1),
      fakeMember(2),
    ]);
    silenceFirst();
    expect(await stop(options)).toBe(true);
    expect([kept, asked]).toEqual([["claims/r1"], [1, 2]]);
  });

  it("says so when nobody takes it within the grace time", async () => {
    const { ends, options } = createStopping([fakeMember(1, true)]);
    expect(await stop(options)).toBe(false);
    expect(ends.count()).toBe(1);
  });
});
