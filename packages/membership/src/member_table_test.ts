import type { MemberNews, MemberStatus } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { createMemberTable } from "./member_table.ts";

const LARGEST_TABLE = 4_096;

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

describe("which news prevails", () => {
  // Datagrams come late, doubled and out of order. Whoever took an older one
  // for news would bring back an instance that has gone, or hide a new one.
  it.each([
    { known: news("alive", 1, 3), next: news("alive", 1, 4), taken: true },
    { known: news("alive", 1, 3), next: news("alive", 1, 3), taken: false },
    { known: news("alive", 1, 3), next: news("alive", 1, 2), taken: false },
    { known: news("alive", 1, 3), next: news("suspect", 1, 3), taken: true },
    { known: news("alive", 1, 4), next: news("suspect", 1, 3), taken: false },
    { known: news("suspect", 1, 3), next: news("alive", 1, 3), taken: false },
    { known: news("suspect", 1, 3), next: news("alive", 1, 4), taken: true },
    { known: news("suspect", 1, 3), next: news("dead", 1, 3), taken: true },
    { known: news("dead", 1, 3), next: news("alive", 1, 4), taken: true },
    { known: news("left", 1, 3), next: news("alive", 1, 9), taken: false },
    { known: news("left", 1, 3), next: news("alive", 2, 0), taken: true },
    { known: news("alive", 2, 0), next: news("left", 1, 9), taken: false },
    { known: news("dead", 1, 9), next: news("alive", 2, 0), taken: true },
  ])("$known.status then $next.status: $taken", ({ known, next, taken }) => {
    const table = createTable();
    table.merge(known.status === "alive" ? known : news("alive", 1, 0));
    table.merge(known);
    expect(table.merge(next)).toBe(taken);
  });

  // One instance has forgotten a dead one, another still tells of it. Taken
  // in, the record would go round for good and memory would grow.
  it.each(["dead", "left"] as const)("takes no unknown %s in", (status) => {
    const table = createTable();
    expect(table.merge(news(status, 1, 3))).toBe(false);
    expect(table.size()).toBe(0);
  });

  // A broken peer makes names up. The table must not grow without end.
  it("refuses records over its bound", () => {
    const table = createTable();
    for (let at = 0; at <= LARGEST_TABLE; at++) {
      table.merge(news("alive", 1, 0, `made-up-${at}`));
    }
    expect(table.size()).toBe(LARGEST_TABLE);
  });
});
