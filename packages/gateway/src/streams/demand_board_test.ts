import type { Demand } from "@rosemarypin/admission";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDemandBoard } from "./demand_board.ts";

const NONE = { arrivingPerSecond: 0, waiting: 0, held: 0 };

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Demand of service `chat` that holds tokens of class 0. */
function holding(held: number): Demand {
  return new Map([["chat", new Map([[0, { ...NONE, held }]])]]);
}

/** Board of domain `a`; the others are named by domain and number. */
function startBoard(others: readonly string[] = []) {
  const listed = [...others];
  const board = createDemandBoard({
    failureDomain: "a",
    liveOthers: () =>
      listed.map((instance) => ({
        instance,
        failureDomain: instance.split("/")[0] ?? "",
      })),
  });
  const heldInTotal = () => board.total("chat").get(0)?.held ?? 0;
  return { board, listed, heldInTotal };
}

describe("own demand", () => {
  it("counts what arrives, waits and is held until it ends", () => {
    const { board } = startBoard();
    board.arrived("chat", 2, 500);
    board.waitingChanged("chat", 2, 500);
    board.waitingChanged("chat", 2, -500);
    board.heldChanged("chat", 2, 500);
    expect(board.own().get("chat")?.get(2)).toEqual({
      arrivingPerSecond: 500,
      waiting: 0,
      held: 500,
    });
    vi.advanceTimersByTime(1_000);
    const later = board.own().get("chat")?.get(2);
    expect(later?.arrivingPerSecond).toBeCloseTo(500 / Math.E);
    board.heldChanged("chat", 2, -500);
    vi.advanceTimersByTime(10_000);
    expect(board.own()).toEqual(new Map());
  });

  it("has the rate of steady arrivals", () => {
    const { board } = startBoard();
    for (let count = 0; count < 100; count += 1) {
      vi.advanceTimersByTime(100);
      board.arrived("chat", 0, 500);
    }
    const rate = board.own().get("chat")?.get(0)?.arrivingPerSecond;
    expect(rate).toBeGreaterThan(4_500);
    expect(rate).toBeLessThan(5_500);
  });

  it("counts priorities outside the classes as the nearest class", () => {
    const { board } = startBoard();
    board.heldChanged("chat", 99, 500);
    board.heldChanged("chat", -3, 200);
    expect([...(board.own().get("chat")?.keys() ?? [])]).toEqual([15, 0]);
  });
});

describe("demand of other instances", () => {
  it("replaces what a peer reported before", () => {
    const { board, heldInTotal } = startBoard(["a/1"]);
    board.recordPeer("a/1", holding(1_000));
    board.recordPeer("a/1", holding(300));
    expect(heldInTotal()).toBe(300);
  });

  // Guards against treating what instances without a recent report hold as
  // free: with many instances each is heard every few seconds.
  it("is scaled up to the instances of the domain", () => {
    const { board, heldInTotal } = startBoard(["a/1", "a/2", "a/3"]);
    board.heldChanged("chat", 0, 100);
    board.recordPeer("a/1", holding(300));
    expect(heldInTotal()).toBe(800);
    expect(board.ownDomain(6).get("chat")?.get(0)?.held).toBe(1_200);
  });

  it("is summed by domain where instances of all domains report", () => {
    const { board, heldInTotal } = startBoard(["a/1", "b/1", "b/2", "c/1"]);
    board.recordPeer("a/1", holding(100));
    board.recordPeer("b/1", holding(200));
    // Domain `c` is assumed to hold as much for each instance as the others.
    expect(heldInTotal()).toBe(500 + 125);
    expect(board.ofDomain("chat", "a")?.get(0)?.held).toBe(100);
    expect(board.ofDomain("chat", "b")?.get(0)?.held).toBe(400);
    expect(board.ofDomain("chat", "c")).toBeNull();
  });

  it("isn't counted twice where a domain's sum is known", () => {
    const { board, heldInTotal } = startBoard(["b/1", "b/2"]);
    board.recordPeer("b/1", holding(200));
    board.recordDomain("b", holding(900));
    expect(heldInTotal()).toBe(900);
  });

  it("doesn't come from sums of this failure domain", () => {
    const { board, heldInTotal } = startBoard();
    board.heldChanged("chat", 0, 100);
    board.recordDomain("a", holding(900));
    expect(heldInTotal()).toBe(100);
  });

  it("counts peers that aren't listed yet", () => {
    const { board, heldInTotal } = startBoard();
    board.recordPeer("a/9", holding(200));
    expect(heldInTotal()).toBe(200);
  });
});

describe("reports that are lost", () => {
  it("leave a domain's sum valid for 3 s, then the domain is unknown", () => {
    const { board, heldInTotal } = startBoard(["b/1"]);
    board.heldChanged("chat", 0, 100);
    board.recordDomain("b", holding(900));
    vi.advanceTimersByTime(2_999);
    expect(heldInTotal()).toBe(1_000);
    vi.advanceTimersByTime(1);
    expect(heldInTotal()).toBe(100);
    expect(board.ofDomain("chat", "b")).toBeNull();
  });

  it("leave a peer's demand valid for 5 s, then what is observed here", () => {
    const { board, heldInTotal } = startBoard(["a/1"]);
    board.heldChanged("chat", 0, 100);
    board.recordPeer("a/1", holding(700));
    vi.advanceTimersByTime(4_999);
    expect(heldInTotal()).toBe(800);
    vi.advanceTimersByTime(1);
    expect(heldInTotal()).toBe(100);
  });

  // Sums of a domain arrive seconds apart; without them the demand would seem
  // to fall by the domain's part each time.
  it("of one domain leave it with the mean of the others in the total", () => {
    const { board, heldInTotal } = startBoard(["b/1", "c/1", "c/2"]);
    board.heldChanged("chat", 0, 100);
    board.recordDomain("c", holding(900));
    vi.advanceTimersByTime(1_000);
    board.recordDomain("b", holding(200));
    expect(heldInTotal()).toBe(1_200);
    vi.advanceTimersByTime(2_000);
    expect(heldInTotal()).toBe(600);
    expect(board.ofDomain("chat", "c")).toBeNull();
  });

  it("leave the own demand alone when all instances are gone", () => {
    const { board, listed, heldInTotal } = startBoard(["a/1", "b/1"]);
    board.heldChanged("chat", 0, 100);
    board.recordPeer("a/1", holding(700));
    board.recordDomain("b", holding(900));
    listed.length = 0;
    vi.advanceTimersByTime(5_000);
    expect(heldInTotal()).toBe(100);
  });
});
