import type { Member, Membership, PeerCaller } from "@rosemarypin/membership";
import type { EngineSettings } from "@rosemarypin/schemas";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createEngineNotices } from "./engine_notices.ts";
import { createSubsetChoice } from "./subset_choice.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function member(id: string, state: Member["state"]): Member {
  const failureDomain = "a";
  const peer = { host: "127.0.0.1", port: Number(id) };
  return { record: { id, failureDomain, peer }, state } as unknown as Member;
}

function membershipOf(peers: () => readonly Member[]): Membership {
  const self = () => member("1", "alive").record;
  return { self, peers } as unknown as Membership;
}

it("sends changes that come together as one notice to live peers", async () => {
  // A note changes dozens of engines within a moment. A notice for each, to
  // each of 340 instances, would take up links that answers need.
  const sent: unknown[] = [];
  const peers = {
    async call(address: { port: number }, _method: string, options: object) {
      sent.push([address.port, options]);
    },
  } as unknown as PeerCaller;
  const known = [member("2", "alive"), member("3", "suspect")];
  const notice = createEngineNotices({
    membership: membershipOf(() => known),
    peers,
  });
  notice("engine-1");
  notice("engine-2");
  notice("engine-1");
  await vi.advanceTimersByTimeAsync(1_000);
  const params = { engines: ["engine-1", "engine-2"] };
  expect(sent).toEqual([[2, { params }]]);
});

it("chooses engines anew only when instances come or go", () => {
  const engines = Array.from({ length: 100 }, (_, index) => ({
    id: `engine-${index}`,
    failureDomain: "a",
    roles: [{ model: "assist", layers: { from: 0, to: 4 } }],
  })) as unknown as EngineSettings[];
  let known = ["2", "3", "4"].map((id) => member(id, "alive"));
  const choose = createSubsetChoice({
    engines,
    membership: membershipOf(() => known),
  });
  const first = choose();
  expect(choose()).toBe(first);
  known = known.slice(1);
  expect(choose().watched.size).toBeGreaterThan(first.watched.size);
});
