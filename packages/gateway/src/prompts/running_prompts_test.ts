import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import { createRunningPrompts, type EngineEnd } from "./running_prompts.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function engine(id: string): BackendServer {
  return { id, address: id, service: "model", startedAt: 1 } as BackendServer;
}

function runOn(engineIds: readonly string[]) {
  return { engineIds: () => engineIds, stop: () => {} };
}

function setUp({ listening = [] as string[], isCutOff = false } = {}) {
  const ends: EngineEnd[] = [];
  const sound: string[] = [];
  const prompts = createRunningPrompts({
    refusesConnections: async (address) => !listening.includes(address),
    isCutOff: async () => isCutOff,
    onSound: ({ parts }) => sound.push(parts.join()),
    onEngineEnd: (end) => ends.push(end),
  });
  function track(...parts: string[]) {
    const call = {
      service: { name: "model" },
      metadata: { sharedPromptParts: parts },
    };
    return prompts.track(call as never);
  }
  return { prompts, ends, sound, track };
}

describe("prompts in progress", () => {
  it("are reported with the end of an engine of their pipelines", async () => {
    const { prompts, ends, track } = setUp();
    track("common", "first").startRun(runOn(["e-1", "e-2"]));
    track("common", "second").startRun(runOn(["e-3", "e-1"]));
    track("common", "elsewhere").startRun(runOn(["e-3"]));
    expect(await prompts.checkEnd(engine("e-1"))).toBe(true);
    expect(ends).toMatchInlineSnapshot(`
      [
        {
          "at": 0,
          "engine": "e-1@1",
          "prompts": [
            [
              "common",
              "first",
            ],
            [
              "common",
              "second",
            ],
          ],
          "service": "model",
        },
      ]
    `);
  });

  it("include those whose connections closed just before", async () => {
    const { prompts, ends, track } = setUp();
    const run = track("p").startRun(runOn(["e-1"]));
    run.end({ isComplete: false });
    await prompts.checkEnd(engine("e-1"));
    expect(ends[0]?.prompts).toEqual([["p"]]);
  });

  it("are forgotten once their answers broke off for another reason", async () => {
    const { prompts, ends, track } = setUp();
    const run = track("p").startRun(runOn(["e-1"]));
    run.end({ isComplete: false });
    vi.advanceTimersByTime(1_001);
    await prompts.checkEnd(engine("e-1"));
    expect(ends[0]?.prompts).toEqual([]);
  });

  // Guards against an engine's end that is counted once for each of its answers.
  it("are reported once for each end", async () => {
    const { prompts, ends, track } = setUp();
    track("p").startRun(runOn(["e-1"]));
    const checks = [1, 2, 3].map(() => prompts.checkEnd(engine("e-1")));
    expect(await Promise.all(checks)).toEqual([true, true, true]);
    expect(ends).toHaveLength(1);
  });

  // Guards against blame for answers that only their connections have broken.
  it("are not reported while the engine accepts connections", async () => {
    const { prompts, ends, track } = setUp({ listening: ["e-1"] });
    track("p").startRun(runOn(["e-1"]));
    expect(await prompts.checkEnd(engine("e-1"))).toBe(false);
    expect(ends).toEqual([]);
  });

  // Guards against blame for engines to which this instance has lost its links.
  it("are not reported while the instance is cut off", async () => {
    const { prompts, ends, track } = setUp({ isCutOff: true });
    track("p").startRun(runOn(["e-1"]));
    expect(await prompts.checkEnd(engine("e-1"))).toBe(false);
    expect(ends).toEqual([]);
  });
});

describe("a prompt", () => {
  it("is sound once its answer has had several events for a time", () => {
    const { sound, track } = setUp();
    const prompt = track("p");
    const run = prompt.startRun(runOn(["e-1"]));
    for (let event = 0; event < 10; event += 1) run.onEvent();
    expect(prompt.isSound()).toBe(false);
    vi.advanceTimersByTime(300);
    run.onEvent();
    expect(prompt.isSound()).toBe(true);
    expect(sound).toEqual(["p"]);
  });

  // Guards against taking a prompt for sound because a slow engine ended late.
  it("is not sound after two events, however far apart", () => {
    const { track } = setUp();
    const prompt = track("p");
    const run = prompt.startRun(runOn(["e-1"]));
    run.onEvent();
    vi.advanceTimersByTime(5_000);
    run.onEvent();
    expect(prompt.isSound()).toBe(false);
  });

  it("is sound once a short answer is complete", () => {
    const { sound, track } = setUp();
    const run = track("p").startRun(runOn(["e-1"]));
    run.onEvent();
    run.end({ isComplete: true });
    expect(sound).toEqual(["p"]);
  });

  it("that has been answered is no reason of a later run's end", async () => {
    const { prompts, ends, track } = setUp();
    const prompt = track("p");
    const first = prompt.startRun(runOn(["e-1"]));
    first.onEvent();
    first.end({ isComplete: true });
    prompt.startRun(runOn(["e-2"]));
    await prompts.checkEnd(engine("e-2"));
    expect(ends[0]?.prompts).toEqual([]);
  });
});
