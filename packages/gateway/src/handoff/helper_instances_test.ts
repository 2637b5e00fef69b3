import type { PeerCaller, PeerResult } from "@rosemarypin/membership";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { LiveInstance } from "../following/mod.ts";
import { createHelperInstances } from "./helper_instances.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const none = new Set<string>();

function live(instance: string, reachesEngines = true): LiveInstance {
  return {
    instance,
    failureDomain: instance.slice(0, 1),
    peer: { host: instance, port: 1 },
    reachesEngines,
    takesHandoffs: true,
  };
}

/** An instance in domain `a`; those in `silent` don't answer it. */
function setUp(others: readonly LiveInstance[]) {
  const silent = new Set<string>();
  let pings = 0;
  const caller: PeerCaller = {
    async call({ host }, _method, { timeoutMs = 0 } = {}): Promise<PeerResult> {
      pings += 1;
      if (!silent.has(host)) return { kind: "ok", value: true };
      await new Promise((resolve) => setTimeout(resolve, timeoutMs));
      return { kind: "unreachable", detail: "timeout" };
    },
  };
  const controller = new AbortController();
  const helpers = createHelperInstances({
    failureDomain: "a",
    liveOthers: () => others,
    caller,
    signal: controller.signal,
  });
  return { helpers, silent, pings: () => pings };
}

function chosen(
  { helpers }: ReturnType<typeof setUp>,
  draws = 200,
): ReadonlySet<string> {
  const names = Array.from(
    { length: draws },
    () => helpers.choose(none)?.instance ?? "none",
  );
  return new Set(names);
}

describe("choice of a helper", () => {
  it("stays in the failure domain while half of it can help", () => {
    const near = setUp([live("a-2"), live("a-3"), live("b-1")]);
    expect(chosen(near)).toEqual(new Set(["a-2", "a-3"]));
  });

  it("covers all domains when most of its own is cut off", () => {
    // Guards against the last instances of a domain that get the requests of all
    // the others, while other domains have room.
    const cutOff = ["a-2", "a-3", "a-4", "a-5"].map((id) => live(id, false));
    const others = [...cutOff, live("a-6"), live("b-1"), live("c-1")];
    expect(chosen(setUp(others))).toEqual(new Set(["a-6", "b-1", "c-1"]));
  });

  it("avoids instances that declined, until others can't help either", async () => {
    const made = setUp([live("b-1"), live("c-1")]);
    made.helpers.recordFailure("b-1", "cut_off");
    expect(chosen(made)).toEqual(new Set(["c-1"]));
    made.helpers.recordFailure("c-1", "busy");
    expect(chosen(made)).toEqual(new Set(["none"]));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(chosen(made)).toEqual(new Set(["b-1", "c-1"]));
  });

  it("leaves out instances of a version that takes nothing over", () => {
    // Guards against requests that are lost at older instances in an update.
    const older = { ...live("a-2"), takesHandoffs: false };
    expect(chosen(setUp([older, live("b-1")]))).toEqual(new Set(["b-1"]));
  });

  it("spreads requests in progress evenly", () => {
    const { helpers } = setUp(
      ["b-1", "c-1", "d-1", "e-1"].map((id) => live(id)),
    );
    const counts = new Map<string, number>();
    for (let request = 0; request < 400; request += 1) {
      const helper = helpers.choose(none);
      if (!helper) throw new Error("no helper");
      helpers.use(helper, () => true);
      counts.set(helper.instance, (counts.get(helper.instance) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(110);
  });
});

describe("a helper with requests in progress", () => {
  it("is lost when it answers neither them nor a ping", async () => {
    // Guards against requests that wait for their deadline because the instance
    // that handles them stands still.
    const { helpers, silent } = setUp([live("b-1")]);
    const helper = helpers.choose(none);
    if (!helper) throw new Error("no helper");
    let choiceWhenLost: unknown = "not lost";
    const onLost = vi.fn(() => {
      choiceWhenLost = helpers.choose(none);
      return true;
    });
    const use = helpers.use(helper, onLost);
    use.heard();
    silent.add("b-1");
    await vi.advanceTimersByTimeAsync(1_200);
    expect(onLost).toHaveBeenCalledOnce();
    expect(choiceWhenLost).toBeNull();
  });

  // Guards against requests that nothing else can serve, and that are given up
  // or forgotten because their helper is silent for a time.
  it("keeps a request that isn't given up, until it answers again", async () => {
    const { helpers, silent } = setUp([live("b-1")]);
    const helper = helpers.choose(none);
    if (!helper) throw new Error("no helper");
    const onLost = vi.fn(() => false);
    helpers.use(helper, onLost).heard();
    silent.add("b-1");
    await vi.advanceTimersByTimeAsync(3_000);
    const asked = onLost.mock.calls.length;
    expect(asked).toBeGreaterThan(1);
    silent.delete("b-1");
    await vi.advanceTimersByTimeAsync(10_000);
    expect(onLost.mock.calls.length).toBeLessThanOrEqual(asked + 1);
  });

  it("is not lost while it answers pings, though its answers are silent", async () => {
    const { helpers } = setUp([live("b-1")]);
    const helper = helpers.choose(none);
    if (!helper) throw new Error("no helper");
    const onLost = vi.fn(() => true);
    const use = helpers.use(helper, onLost);
    await vi.advanceTimersByTimeAsync(10_000);
    expect(onLost).not.toHaveBeenCalled();
    use.end();
  });

  it("is pinged no more once they have ended", async () => {
    const { helpers, pings } = setUp([live("b-1")]);
    const helper = helpers.choose(none);
    if (!helper) throw new Error("no helper");
    const use = helpers.use(helper, () => true);
    await vi.advanceTimersByTimeAsync(1_000);
    use.end();
    await vi.advanceTimersByTimeAsync(1_000);
    const pingsAtEnd = pings();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(pings()).toBe(pingsAtEnd);
  });
});

describe("an instance that reaches no server", () => {
  it("is isolated when no other instance answers", async () => {
    const { helpers, silent } = setUp([live("b-1"), live("c-1")]);
    let isCutOff = true;
    helpers.watchIsolation(() => isCutOff);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(helpers.isIsolated()).toBe(false);
    silent.add("b-1").add("c-1");
    await vi.advanceTimersByTimeAsync(3_000);
    expect(helpers.isIsolated()).toBe(true);
    isCutOff = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(helpers.isIsolated()).toBe(false);
  });

  it("is not isolated when it is the only one", async () => {
    const { helpers } = setUp([]);
    helpers.watchIsolation(() => true);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(helpers.isIsolated()).toBe(false);
  });
});
