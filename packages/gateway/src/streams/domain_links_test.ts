import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDomainLinks } from "./domain_links.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe("links between failure domains", () => {
  // Guards against instances that together send more than a link passes.
  it.each([1, 3, 40])("are shared by %d instances", (instances) => {
    const links = createDomainLinks(() => instances);
    const transferMs = 20;
    let sent = 0;
    const startedAt = performance.now();
    while (performance.now() - startedAt < 60_000) {
      if (links.isFree("a", "b")) {
        links.send("a", "b", transferMs);
        sent += 1;
      }
      vi.advanceTimersByTime(10);
    }
    const busyShare = (sent * instances * transferMs) / 60_000;
    expect(busyShare).toBeGreaterThan(0.65);
    expect(busyShare).toBeLessThan(0.78);
  });

  it("are counted each, in both directions together", () => {
    const links = createDomainLinks(() => 1);
    links.send("a", "b", 700);
    expect(links.backlogMs("b", "a")).toBeCloseTo(1_000, 6);
    expect(links.isFree("b", "a")).toBe(false);
    expect(links.isFree("a", "c")).toBe(true);
    vi.advanceTimersByTime(1_000);
    expect(links.isFree("a", "b")).toBe(true);
  });
});
