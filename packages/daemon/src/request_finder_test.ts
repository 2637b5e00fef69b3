import type { PeerResult } from "@rosemarypin/membership";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { fakeMember } from "./contract/fake_parts.ts";
import { createRequestFinder, requestFinderMethods } from "./request_finder.ts";
import { createRequestMemory, type RequestMemory } from "./request_memory.ts";

const ID = "0d1c2b3a-6f0c-4a36-9f0e-6a1f0c9e4f5e";

function begin(memory: RequestMemory, requestId: string) {
  return memory.begin({
    kind: "answer",
    requestId,
    name: "assist",
    organisation: "kano",
  });
}

function createFleet(size: number) {
  const memories = Array.from({ length: size }, (_, number) =>
    createRequestMemory({ instance: `entry-${number}` }),
  );
  const silent = new Set<number>();
  const members = memories.map((_, port) => fakeMember(port));
  const [own] = memories;
  if (!own) throw new Error("the fleet is empty");
  const find = createRequestFinder({
    memory: own,
    membership: { peers: () => members.slice(1) },
    peers: {
      async call({ port }, method, { params } = {}): Promise<PeerResult> {
        const memory = memories[port];
        if (silent.has(port) || !memory) return { kind: "refused" };
        const methods = requestFinderMethods(memory);
        const handler = methods[method as keyof typeof methods];
        return { kind: "ok", value: handler(params) };
      },
    },
  });
  return { memories, silent, find };
}

describe("what is remembered of a request", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("is found on any instance, the first part first", async () => {
    const { memories, find } = createFleet(4);
    const [, second, third] = memories;
    if (!second || !third) throw new Error("the fleet is too small");
    begin(third, ID).end({ outcome: "caller_left", tokens: 7 });
    begin(second, "other").end({ outcome: "done" });
    vi.advanceTimersByTime(1_000);
    begin(second, ID).note({ firstTokenMs: 40 });
    const { records, silent } = await find(ID);
    expect(silent).toEqual([]);
    expect(records).toMatchObject([
      { instance: "entry-2", outcome: "caller_left", tokens: 7 },
      { instance: "entry-1", outcome: "running", firstTokenMs: 40 },
    ]);
  });

  it("comes with the names of those that could not be asked", async () => {
    const { silent, find } = createFleet(4);
    silent.add(2);
    expect(await find(ID)).toEqual({
      requestId: ID,
      records: [],
      silent: ["entry-2"],
    });
  });

  it("is forgotten when there is too much of it, the oldest first", () => {
    // A busy instance would else fill its memory with requests that ended.
    const memory = createRequestMemory({ instance: "entry-1", size: 2 });
    const first = begin(memory, "first");
    begin(memory, "second");
    begin(memory, "third");
    first.end({ outcome: "done" });
    const found = ["first", "second", "third"].map(
      (id) => memory.find(id).length,
    );
    expect(found).toEqual([0, 1, 1]);
  });
});
