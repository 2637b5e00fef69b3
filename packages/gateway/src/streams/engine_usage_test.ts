import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { AddressedStage } from "../protocol.ts";
import {
  createEngineUsage,
  DOMAIN_LOADS_VALID_MS,
  PEER_LOADS_VALID_MS,
} from "./engine_usage.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const stages: AddressedStage[] = [
  { engineId: "e-1", address: "10.0.0.1:80", range: { from: 0, to: 10 } },
  { engineId: "e-2", address: "10.0.0.2:80", range: { from: 10, to: 30 } },
];

describe("engine usage", () => {
  it("counts an answer once at each stage until its release", () => {
    const usage = createEngineUsage();
    const answer = { stages, tokens: 100, unreadTokens: 80 };
    const reservation = usage.reserve({ ...answer, unreadStages: stages });
    usage.reserve({
      stages: stages.slice(0, 1),
      tokens: 50,
      unreadTokens: 0,
      unreadStages: [],
    });
    expect([...usage.localLoads()]).toEqual([
      ["e-1", { held: 1_500, unread: 800 }],
      ["e-2", { held: 2_000, unread: 1_600 }],
    ]);
    reservation.release();
    reservation.release();
    expect([...usage.localLoads()]).toEqual([
      ["e-1", { held: 500, unread: 0 }],
    ]);
    expect(usage.localTokens()).toBe(50);
  });

  it("counts a prompt once as unread until the answer begins", () => {
    const usage = createEngineUsage();
    const answer = { stages, tokens: 100, unreadTokens: 80 };
    const reservation = usage.reserve({
      ...answer,
      unreadStages: stages.slice(1),
    });
    reservation.markPromptRead();
    reservation.markPromptRead();
    expect([...usage.localLoads()]).toEqual([
      ["e-1", { held: 1_000, unread: 0 }],
      ["e-2", { held: 2_000, unread: 0 }],
    ]);
    reservation.release();
    expect([...usage.localLoads()]).toEqual([]);
  });

  it("sums the latest loads of each peer", () => {
    const usage = createEngineUsage();
    usage.recordPeerLoads("b", new Map([["e-1", { held: 10, unread: 1 }]]));
    usage.recordPeerLoads("b", new Map([["e-1", { held: 30, unread: 2 }]]));
    usage.recordPeerLoads("c", new Map([["e-1", { held: 5, unread: 3 }]]));
    expect(usage.peerLoadOf("e-1")).toEqual({ held: 35, unread: 5 });
    expect(usage.peerLoadOf("e-2")).toEqual({ held: 0, unread: 0 });
  });

  it("drops the loads of a peer that stopped reporting", () => {
    const usage = createEngineUsage();
    usage.recordPeerLoads("b", new Map([["e-1", { held: 30, unread: 2 }]]));
    vi.advanceTimersByTime(PEER_LOADS_VALID_MS);
    expect(usage.peerLoadOf("e-1")).toEqual({ held: 0, unread: 0 });
    expect(usage.peerLoads("b")).toBeNull();
  });

  it("scales the sum over the domain to instances without a report", () => {
    const usage = createEngineUsage();
    usage.reserve({
      stages,
      tokens: 10,
      unreadTokens: 4,
      unreadStages: stages,
    });
    usage.recordPeerLoads("b", new Map([["e-1", { held: 300, unread: 0 }]]));
    expect(usage.domainLoads(4).get("e-1")).toEqual({ held: 800, unread: 80 });
    expect(usage.domainLoads(2).get("e-1")).toEqual({ held: 400, unread: 40 });
  });

  it("sums the latest loads of other domains until they expire", () => {
    const usage = createEngineUsage();
    usage.recordDomainLoads("b", new Map([["e-1", { held: 10, unread: 1 }]]));
    usage.recordDomainLoads("b", new Map([["e-1", { held: 30, unread: 2 }]]));
    usage.recordDomainLoads("c", new Map([["e-1", { held: 5, unread: 3 }]]));
    expect(usage.domainLoadOf("e-1")).toEqual({ held: 35, unread: 5 });
    expect(usage.hasDomainLoads("b")).toBe(true);
    vi.advanceTimersByTime(DOMAIN_LOADS_VALID_MS);
    expect(usage.domainLoadOf("e-1")).toEqual({ held: 0, unread: 0 });
    expect(usage.hasDomainLoads("b")).toBe(false);
  });
});

describe("memory that becomes free", () => {
  // Guards against requests that wait while a peer has reported free memory,
  // and against a search for each report that names more use.
  it("is announced for answers that end and reports of less use", () => {
    const usage = createEngineUsage();
    const onFreed = vi.fn();
    usage.onFreed(onFreed);
    const reservation = usage.reserve({
      stages: [],
      tokens: 10,
      unreadTokens: 0,
      unreadStages: [],
    });
    expect(onFreed).toHaveBeenCalledTimes(0);
    reservation.release();
    reservation.release();
    expect(onFreed).toHaveBeenCalledTimes(1);
    const loads = (held: number) => new Map([["e", { held, unread: 0 }]]);
    usage.recordPeerLoads("peer", loads(10));
    expect(onFreed).toHaveBeenCalledTimes(2);
    usage.recordPeerLoads("peer", loads(20));
    expect(onFreed).toHaveBeenCalledTimes(2);
    usage.recordPeerLoads("peer", loads(5));
    usage.recordDomainLoads("b", loads(50));
    usage.recordDomainLoads("b", new Map());
    expect(onFreed).toHaveBeenCalledTimes(5);
  });
});
