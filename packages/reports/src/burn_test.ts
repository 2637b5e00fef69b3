import type { EventCount, ServiceLevels } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { computeBurn } from "./burn.ts";
import { renderBurnPage } from "./burn_page.ts";

const none: EventCount[] = Array.from({ length: 60 }, () => ({
  total: 0,
  missed: 0,
}));

function levels(
  instance: string,
  series: readonly (readonly [string, number, number])[],
): ServiceLevels {
  return {
    instance,
    failureDomain: "a",
    countedSeconds: 3_600,
    targets: {
      firstToken: 0.95,
      betweenTokens: 0.95,
      booking: 0.999,
      note: 0.95,
    },
    series: series.map(([organisation, total, missed]) => ({
      objective: "firstToken",
      organisation,
      name: "assist",
      fast: { total: 0, missed: 0 },
      slow: { total, missed },
    })),
    minutes: {
      firstToken: none.with(59, { total: 10, missed: 2 }),
      betweenTokens: none,
      booking: none,
      note: none,
    },
  };
}

const gap = { instance: "entry-3", reason: "connect ECONNREFUSED" };

describe("service-level burn", () => {
  it("sums instances, and divides by what the target allows", () => {
    const parts = [
      levels("entry-1", [["kano", 100, 10]]),
      levels("entry-2", [["kano", 100, 0]]),
    ];
    const { objectives } = computeBurn(parts, { missing: [], top: 3 });
    const [firstToken, , booking] = objectives;
    expect(firstToken?.slow).toMatchObject({ total: 200, missed: 10 });
    expect(firstToken?.slow.burnRate).toBeCloseTo(1);
    expect(firstToken?.budgetLeft).toBeCloseTo(0);
    expect(booking?.state).toBe("no_events");
  });

  it("names the largest spenders and keeps the rest as one", () => {
    const series = Array.from(
      { length: 6_400 },
      (_, n) => [`org-${n}`, 10, n === 17 || n === 400 ? 9 : 0] as const,
    );
    const parts = [levels("entry-1", [...series, ["(rest)", 50, 1]])];
    const report = computeBurn(parts, { missing: [], top: 2 });
    expect(
      report.series.map(({ organisation, slow }) => [
        organisation,
        slow.total,
        slow.missed,
      ]),
    ).toEqual([
      ["org-17", 10, 9],
      ["org-400", 10, 9],
      ["(rest)", 64_030, 1],
    ]);
  });

  it("says which instance is missing, on the page too", () => {
    const report = computeBurn([levels("entry-1", [])], {
      missing: [gap],
      top: 2,
    });
    expect(report.missing).toEqual([gap]);
    expect(renderBurnPage(report)).toContain("entry-3: connect ECONNREFUSED");
  });

  it("works with no instance at all", () => {
    const report = computeBurn([], { missing: [gap], top: 2 });
    expect(renderBurnPage(report)).toContain("no events");
  });

  it("draws a page that loads nothing and runs nothing", () => {
    const parts = [levels("<script>", [["kano", 100, 10]])];
    const page = renderBurnPage(computeBurn(parts, { missing: [], top: 2 }));
    expect(page).not.toMatch(/<script|<link|src=|url\(/);
    expect(page).toContain("&lt;script&gt;");
    expect(page.match(/<svg/g)).toHaveLength(4);
    expect(page).toMatchSnapshot();
  });
});
