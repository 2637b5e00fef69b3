import { type InstanceList, instanceListSchema } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLeavingServers } from "./leaving_servers.ts";

const address = { host: "127.0.0.1", port: 1 };
const server = { id: "one", failureDomain: "a", address };

function listWith(...states: ("live" | "leaving")[]): InstanceList {
  const instances = states.map((state) => ({
    id: "one",
    kind: "service",
    name: "dealer-app",
    failureDomain: "a",
    host: "127.0.0.1",
    port: 1,
    state,
  }));
  return instanceListSchema.parse({ instances });
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Every combination of the platform's list and the server's own report. */
const precedenceRows = [
  {
    list: "live",
    reported: true,
    instanceList: listWith("live"),
    leaving: true,
  },
  {
    list: "leaving",
    reported: false,
    instanceList: listWith("leaving"),
    leaving: false,
  },
  { list: "nothing", reported: true, instanceList: listWith(), leaving: true },
  {
    list: "nothing",
    reported: false,
    instanceList: listWith(),
    leaving: false,
  },
  {
    list: "live",
    reported: null,
    instanceList: listWith("live"),
    leaving: false,
  },
  {
    list: "leaving",
    reported: null,
    instanceList: listWith("leaving"),
    leaving: true,
  },
  { list: "no list", reported: null, instanceList: null, leaving: false },
] as const;

describe("leaving servers", () => {
  it.each(precedenceRows)(
    "list: $list, own report: $reported -> leaving: $leaving",
    (row) => {
      const servers = createLeavingServers();
      servers.applyInstanceList(row.instanceList);
      if (row.reported !== null) servers.recordReport("one", row.reported);
      expect(servers.isLeaving(server)).toBe(row.leaving);
    },
  );

  it("prefers the operators' settings over all other sources", () => {
    const servers = createLeavingServers();
    servers.recordReport("one", false);
    servers.applyInstanceList(listWith("live"));
    expect(servers.isLeaving({ ...server, leaving: true })).toBe(true);
  });

  it("excludes a leaving server that no longer responds", () => {
    // The server reported that it was leaving and then stopped responding. The
    // list shows it as live for many more seconds; a call to it would be lost.
    const servers = createLeavingServers();
    servers.applyInstanceList(listWith("live"));
    servers.recordReport("one", true);
    vi.advanceTimersByTime(30_000);
    expect(servers.isLeaving(server)).toBe(true);
  });

  it("prefers the server's report of its return over an old list", () => {
    const servers = createLeavingServers();
    servers.applyInstanceList(listWith("leaving"));
    servers.recordReport("one", true);
    servers.recordReport("one", false);
    expect(servers.isLeaving(server)).toBe(false);
  });

  it("keeps the last list while none is available", () => {
    const servers = createLeavingServers();
    servers.applyInstanceList(listWith("leaving"));
    servers.applyInstanceList(null);
    expect(servers.isLeaving(server)).toBe(true);
  });
});
