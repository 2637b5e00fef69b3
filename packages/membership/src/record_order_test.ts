import type { MemberRecord } from "@rosemarypin/schemas";
import { expect, test } from "vitest";
import { isNewer } from "./member_table.ts";

const known: MemberRecord = {
  id: "entry-1",
  failureDomain: "a",
  peer: { host: "127.0.0.1", port: 1 },
  incarnation: 2,
  revision: 5,
  left: false,
  shared: { note: 1, draining: false, load: 0 },
};

/**
 * Datagrams overtake each other. An instance that ended would be listed as
 * alive again by its own late word, and a recall would wait for it.
 */
test.each([
  ["a later heartbeat", { revision: 6 }, {}, true],
  ["a repeated heartbeat", {}, {}, false],
  ["a goodbye", { left: true }, {}, true],
  [
    "a late heartbeat does not undo a goodbye",
    { revision: 9 },
    { left: true },
    false,
  ],
  [
    "a restart undoes a goodbye",
    { incarnation: 3, revision: 0 },
    { left: true },
    true,
  ],
  [
    "a late heartbeat of the process before a restart",
    { incarnation: 1, revision: 9 },
    {},
    false,
  ],
])("%s", (_story, next, change, isNews) => {
  const before = { ...known, ...change };
  expect(isNewer({ ...known, ...next }, before)).toBe(isNews);
});
