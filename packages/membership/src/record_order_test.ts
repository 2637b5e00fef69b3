import type { MemberRecord } from "@rosemarypin/schemas";
import { expect, test } from "vitest";
import { isNewer } from "./member_table.ts";

const baseRecord: MemberRecord = {
  id: "entry-1",
  failureDomain: "a",
  peer: { host: "127.0.0.1", port: 1 },
  incarnation: 2,
  revision: 5,
  left: false,
  shared: { note: 1, draining: false, load: 0 },
};

/**
 * Datagrams can be reordered. If a late heartbeat of an instance that has ended
 * were accepted, it would be listed as alive and a recall would wait for it.
 */
test.each([
  ["a later heartbeat is newer", { revision: 6 }, {}, true],
  ["a repeated heartbeat is not newer", {}, {}, false],
  ["a goodbye is newer than a heartbeat", { left: true }, {}, true],
  [
    "a late heartbeat is not newer than a goodbye",
    { revision: 9 },
    { left: true },
    false,
  ],
  [
    "a restart is newer than a goodbye",
    { incarnation: 3, revision: 0 },
    { left: true },
    true,
  ],
  [
    "a late heartbeat of the previous process is not newer",
    { incarnation: 1, revision: 9 },
    {},
    false,
  ],
])("record order: %s", (_case, next, change, expected) => {
  const current = { ...baseRecord, ...change };
  expect(isNewer({ ...baseRecord, ...next }, current)).toBe(expected);
});
