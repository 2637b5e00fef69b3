import { expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import { createServerEntries } from "./server_entries.ts";

const { warn } = vi.hoisted(() => ({ warn: vi.fn() }));
vi.mock("@rosemarypin/telemetry", () => ({ createLogger: () => ({ warn }) }));

function setUp() {
  const servers = new Set<string>();
  const onUnusable = vi.fn();
  const entries = createServerEntries({
    fleet: {
      put: ({ id }) => void servers.add(id),
      remove: (id) => void servers.delete(id),
    },
    decode: (id, content) =>
      content === "odd" ? "reason" : ({ id } as BackendServer),
    onUnusable,
  });
  return { entries, servers, onUnusable };
}

// Guards against a log that grows with each renewal of an entry.
it("an entry that can't be used is counted each time and logged once", () => {
  const { entries, servers, onUnusable } = setUp();
  warn.mockClear();
  entries.apply("sound", {});
  for (let renewal = 0; renewal < 100; renewal += 1) entries.apply("a", "odd");
  expect(onUnusable).toHaveBeenCalledTimes(100);
  expect(warn).toHaveBeenCalledOnce();
  expect([...servers]).toEqual(["sound"]);
});

it("an entry that can no longer be used names no server, until it can", () => {
  const { entries, servers } = setUp();
  entries.apply("a", {});
  entries.apply("a", "odd");
  expect([...servers]).toEqual([]);
  entries.apply("a", {});
  expect([...servers]).toEqual(["a"]);
});

// Guards against memory that grows with names that other writers make up.
it("entries under ever new names are logged up to a bound", () => {
  const { entries } = setUp();
  warn.mockClear();
  for (let name = 0; name < 5_000; name += 1) entries.apply(`${name}`, "odd");
  expect(warn).toHaveBeenCalledTimes(1_000);
});
