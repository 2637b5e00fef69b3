import { setMaxListeners } from "node:events";
import { createInstanceDomain } from "@rosemarypin/fakes";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { startStoreFollowing } from "./store_following.ts";

const KEY = "servers/leaving";
const NAMES = Array.from({ length: 12 }, (_, index) => `i-${index + 10}`);
const [RELAY = "", OTHER_RELAY = ""] = NAMES;

let domain: ReturnType<typeof createDomain>;
let events: string[];

beforeEach(() => {
  vi.useFakeTimers();
  events = [];
  domain = createDomain();
});
afterEach(() => {
  domain.end();
  vi.useRealTimers();
});

function createDomain() {
  return createInstanceDomain(({ name, address, store, link, signal }) => {
    setMaxListeners(0, signal);
    return startStoreFollowing({
      store,
      instance: name,
      failureDomain: "a",
      peers: address,
      peerMethods: {},
      peerRequests: { header: "handed-off", handle: () => {} },
      prefixes: [
        {
          prefix: "servers/",
          onObject: ({ key }) => events.push(`${name} have ${key}`),
          onRemoved: (key) => events.push(`${name} lost ${key}`),
        },
      ],
      peerTransport: link,
      signal,
    });
  });
}

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** Names of the instances to which it happened, in order of their names. */
function instancesThat(what: "have" | "lost"): string[] {
  return events
    .filter((event) => event.endsWith(` ${what} ${KEY}`))
    .map((event) => event.split(" ")[0] ?? "")
    .sort();
}

// Guards against requests to a server that has left: a relay that the store
// turned away keeps its entry for a grace period, and others follow it then.
it("removed servers don't come back with a relay that the store turned away", async () => {
  const { store } = domain.memory.client();
  await store.write("servers/staying", {}, { expectedVersion: null });
  const written = await store.write(KEY, {}, { expectedVersion: null });
  const version = written.kind === "ok" ? written.value : 0;
  await Promise.all(NAMES.map(domain.start));
  await advance(20_000);
  domain.faults(RELAY).down = true;
  await advance(2_000);
  await store.remove(KEY, { expectedVersion: version });
  await advance(500);
  expect(instancesThat("lost")).toEqual(NAMES.slice(1));
  events.length = 0;
  domain.faults(RELAY).down = false;
  domain.kill(OTHER_RELAY);
  await advance(30_000);
  expect(instancesThat("have")).toEqual([]);
  expect(instancesThat("lost")).toEqual([RELAY]);
  // A server that starts again under its name is known at once.
  events.length = 0;
  await store.write(KEY, {}, { expectedVersion: null });
  await advance(1_000);
  expect(instancesThat("have")).toEqual([...domain.names()].sort());
});
