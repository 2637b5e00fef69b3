import { describe, expect, it } from "vitest";
import { judgeCalls, type SoakCall } from "./judges.ts";
import type { Allowance } from "./versions.ts";

const ALLOWED: Allowance = {
  route: "all",
  key: "all",
  services: ["shop"],
  minTimeoutMs: 1_000,
  maxTimeoutMs: 1_500,
};

function call(change: object, answer: object, allowed: object = {}): SoakCall {
  return {
    id: "r",
    kind: "order",
    events: 2,
    priority: 1,
    organisation: "farm",
    attempt: 1,
    deadlineMs: 3_000,
    onlyPlanned: true,
    allowed: { ...ALLOWED, ...allowed },
    answer: {
      status: 200,
      headers: { "x-request-id": "r" },
      body: "done by p-1",
      whole: true,
      tookMs: 1,
      refused: false,
      onKeptConnection: false,
      ...answer,
    },
    ...change,
  };
}

const stream = { kind: "stream" } as const;
const part = { body: "id: 1\ndata: r.1\n\n", whole: false };

function judge(seen: SoakCall, { runs = 1, heldMs = 0 } = {}): string[] {
  return judgeCalls([seen], () => {
    return { runs, wasRead: true, heldMs };
  });
}

describe("the judges of versions", () => {
  it.each([
    ["got 404 for a route of every version", call({}, { status: 404 })],
    ["got 401 for a key of every version", call({}, { status: 401 })],
    ["got 404 for its key", call({}, { status: 404 }, { key: "none" })],
    ["got 413", call({}, { status: 413 })],
    ["was answered without a route", call({}, {}, { route: "none" })],
    ["was answered without a key", call({}, {}, { key: "none" })],
    ["ran on another service", call({}, {}, { services: ["annex"] })],
    ["got 502 beside planned work", call({}, { status: 502 })],
    ["got 504 too early", call({}, { status: 504, tookMs: 900 })],
    ["was cut in time", call(stream, { ...part, tookMs: 990 })],
  ])("see a request that %s", (_name, seen) => {
    expect(judge(seen)).toHaveLength(1);
  });

  it("see a request that was held beyond every timeout", () => {
    const seen = call({}, { status: 504, tookMs: 2_100 });
    expect(judge(seen, { heldMs: 2_010 })).toHaveLength(1);
    expect(judge(seen, { heldMs: 1_950 })).toEqual([]);
  });

  it.each([
    ["got 404", call({}, { status: 404 }, { route: "some" })],
    ["got 401", call({}, { status: 401 }, { key: "none" })],
    ["was answered", call({}, {}, { route: "some", key: "some" })],
    [
      "ran on a new service",
      call({}, { body: "done by p-2" }, { services: ["shop", "annex"] }),
    ],
    ["got 504 at a timeout", call({}, { status: 504, tookMs: 1_010 })],
    ["got 502 beside a fault", call({ onlyPlanned: false }, { status: 502 })],
    ["was cut at a timeout", call(stream, { ...part, tookMs: 1_010 })],
  ])("pass a request that %s", (_name, seen) => {
    expect(judge(seen, { runs: seen.answer.status < 400 ? 1 : 0 })).toEqual([]);
  });
});
