import type { MemberNews, MemberStatus } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { createMemberTable } from "./member_table.ts";

const MAX_RECORDS = 4_096;

function news(
  status: MemberStatus,
  incarnation: number,
  revision: number,
  id = "a-1",
): MemberNews {
  return {
    status,
    record: {
      id,
      failureDomain: "a",
      peer: { host: "127.0.0.1", port: 1 },
      incarnation,
      revision,
      left: status === "left",
      shared: { note: 0, draining: false, load: 0 },
    },
  };
}

function createTable() {
  return createMemberTable({ forgetSilentAfterMs: 1_000 });
}

describe("member table", () => {
  // Datagrams arrive late, duplicated and out of order. If older news
  // prevailed, an ended instance would be listed as alive, or a new one as
  // ended.
  it.each([
    { current: news("alive", 1, 3), next: news("alive", 1, 4), isMerged: true },
    {
      current: news("alive", 1, 3),
      next: news("alive", 1, 3),
      isMerged: false,
    },
    {
      current: news("alive", 1, 3),
      next: news("alive", 1, 2),
      isMerged: false,
    },
    {
      current: news("alive", 1, 3),
      next: news("suspect", 1, 3),
      isMerged: true,
    },
    {
      current: news("alive", 1, 4),
      next: news("suspect", 1, 3),
      isMerged: false,
    },
    {
      current: news("suspect", 1, 3),
      next: news("alive", 1, 3),
      isMerged: false,
    },
    {
      current: news("suspect", 1, 3),
      next: news("alive", 1, 4),
      isMerged: true,
    },
    {
      current: news("suspect", 1, 3),
      next: news("dead", 1, 3),
      isMerged: true,
    },
    { current: news("dead", 1, 3), next: news("alive", 1, 4), isMerged: true },
    { current: news("left", 1, 3), next: news("alive", 1, 9), isMerged: false },
    { current: news("left", 1, 3), next: news("alive", 2, 0), isMerged: true },
    { current: news("alive", 2, 0), next: news("left", 1, 9), isMerged: false },
    { current: news("dead", 1, 9), next: news("alive", 2, 0), isMerged: true },
  ])(
    "merges $next.status over $current.status: $isMerged",
    ({ current, next, isMerged }) => {
      const table = createTable();
      table.merge(current.status === "alive" ? current : news("alive", 1, 0));
      table.merge(current);
      expect(table.merge(next)).toBe(isMerged);
    },
  );

  // One instance has dropped a dead member that another still sends. If the
  // record were accepted, it would circulate forever and memory would grow.
  it.each(["dead", "left"] as const)(
    "does not add an unknown member with status %s",
    (status) => {
      const table = createTable();
      expect(table.merge(news(status, 1, 3))).toBe(false);
      expect(table.size()).toBe(0);
    },
  );

  // A faulty peer sends made-up ids. The table must not grow without bound.
  it("refuses records above its size limit", () => {
    const table = createTable();
    for (let index = 0; index <= MAX_RECORDS; index++) {
      table.merge(news("alive", 1, 0, `made-up-${index}`));
    }
    expect(table.size()).toBe(MAX_RECORDS);
  });
});
