import { createResultRecorder } from "@rosemarypin/calls";
import type { Member, PeerResult } from "@rosemarypin/membership";
import type { ClaimObject } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { fakeMember } from "./contract/fake_parts.ts";
import { finishRecording, resultHandOverMethods } from "./result_hand_over.ts";

const CLAIM: ClaimObject = {
  requestId: "r1",
  owner: "one",
  incarnation: 1,
  fingerprint: "f",
  claimedAt: 0,
  state: { kind: "claimed" },
};

/** A stopping instance with one pending result; its store is unreachable. */
function createStopping(members: readonly Member[]) {
  const recorded: string[] = [];
  const asked: number[] = [];
  const remaining = createResultRecorder({
    claims: {
      async settle({ key }) {
        recorded.push(key);
        return true;
      },
    },
  });
  const recorder = createResultRecorder({
    claims: { settle: async () => false },
  });
  recorder.record(
    { key: "claims/r1", object: CLAIM, version: 1 },
    { kind: "unknown", reason: "reset" },
  );
  const methods = resultHandOverMethods(remaining);
  let isFirstUnreachable = false;
  const options = {
    recorder,
    membership: { peers: () => members },
    peers: {
      async call(
        { port }: { port: number },
        method: string,
        { params }: { params?: unknown } = {},
      ): Promise<PeerResult> {
        asked.push(port);
        if (isFirstUnreachable && asked.length === 1) {
          return { kind: "unreachable", detail: "no reply" };
        }
        const handler = methods[method as keyof typeof methods];
        return { kind: "ok", value: handler(params) };
      },
    },
    withinMs: 30_000,
  };
  const makeFirstUnreachable = () => {
    isFirstUnreachable = true;
  };
  return { recorded, asked, recorder, options, makeFirstUnreachable };
}

describe("a planned stop in a store outage", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  async function stop(options: Parameters<typeof finishRecording>[0]) {
    const ended = finishRecording(options);
    await vi.advanceTimersByTimeAsync(31_000);
    return ended;
  }

  it("hands unrecorded results over to an instance that keeps running", async () => {
    // The result of an order is known but cannot be written. Without the
    // hand-over, the instance would use its whole grace period, exit with
    // code 3, and lose the result.
    const { recorded, asked, options } = createStopping([
      fakeMember(1, true),
      fakeMember(2),
    ]);
    expect(await stop(options)).toBe(true);
    expect([recorded, asked]).toEqual([["claims/r1"], [2]]);
  });

  it("tries the next instance when one does not respond", async () => {
    const { recorded, asked, options, makeFirstUnreachable } = createStopping([
      fakeMember(1),
      fakeMember(2),
    ]);
    makeFirstUnreachable();
    expect(await stop(options)).toBe(true);
    expect([recorded, asked]).toEqual([["claims/r1"], [1, 2]]);
  });

  it("reports a result that no instance accepts within the grace period", async () => {
    const { recorder, options } = createStopping([fakeMember(1, true)]);
    expect(await stop(options)).toBe(false);
    expect(recorder.count()).toBe(1);
  });
});
