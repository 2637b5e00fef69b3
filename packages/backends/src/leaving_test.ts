import { type InstanceList, instanceListSchema } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLeavingServers } from "./leaving.ts";

const address = { host: "127.0.0.1", port: 1 };
const server = { id: "one", failureDomain: "a", address };

function listSaying(...states: ("live" | "leaving")[]): InstanceList {
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

/** The platform's list is wrong in each way that it can be. */
const wrongLists = [
  { list: "live", own: true, said: listSaying("live"), leaving: true },
  { list: "leaving", own: false, said: listSaying("leaving"), leaving: false },
  { list: "nothing", own: true, said: listSaying(), leaving: true },
  { list: "nothing", own: false, said: listSaying(), leaving: false },
  { list: "live", own: null, said: listSaying("live"), leaving: false },
  { list: "leaving", own: null, said: listSaying("leaving"), leaving: true },
  { list: "no list", own: null, said: null, leaving: false },
] as const;

describe("a server that may be leaving", () => {
  it.each(wrongLists)("list: $list, own word: $own -> $leaving", (row) => {
    const servers = createLeavingServers();
    servers.takeList(row.said);
    if (row.own !== null) servers.takeOwnWord("one", row.own);
    expect(servers.isLeaving(server)).toBe(row.leaving);
  });

  it("stays out by the operators' word, whatever all others say", () => {
    const servers = createLeavingServers();
    servers.takeOwnWord("one", false);
    servers.takeList(listSaying("live"));
    expect(servers.isLeaving({ ...server, leaving: true })).toBe(true);
  });

  it("is not asked again because it fell silent", () => {
    // The server said it was leaving and then stopped to answer. The list
    // still calls it live for many seconds; a call sent there is lost.
    const servers = createLeavingServers();
    servers.takeList(listSaying("live"));
    servers.takeOwnWord("one", true);
    vi.advanceTimersByTime(30_000);
    expect(servers.isLeaving(server)).toBe(true);
  });

  it("returns by its own word, before the list says so", () => {
    const servers = createLeavingServers();
    servers.takeList(listSaying("leaving"));
    servers.takeOwnWord("one", true);
    servers.takeOwnWord("one", false);
    expect(servers.isLeaving(server)).toBe(false);
  });

  it("keeps the last list while none can be had", () => {
    const servers = createLeavingServers();
    servers.takeList(listSaying("leaving"));
    servers.takeList(null);
    expect(servers.isLeaving(server)).toBe(true);
  });
});
