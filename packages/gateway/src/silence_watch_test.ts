import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { CallerCall } from "./caller_call.ts";
import type { ChosenPipeline } from "./pipeline_router.ts";
import type { AddressedStage, MoveAnswer } from "./protocol.ts";
import { watchSilence } from "./silence_watch.ts";
import type { StreamParts, StreamRun } from "./stream_run.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function stage(engineId: string, from: number, to: number): AddressedStage {
  return { engineId, address: `${engineId}:1`, range: { from, to } };
}

function pipeline(...stages: AddressedStage[]): ChosenPipeline {
  const first = { id: "first", address: "first:1" };
  return { stages, first, release: vi.fn() } as unknown as ChosenPipeline;
}

/** A run whose second stage is dead; engines `s1`, `s2`, … could replace it. */
function setUp(answers: readonly MoveAnswer[]) {
  const kept = stage("first", 0, 4);
  const run = {
    pipeline: pipeline(kept, stage("dead", 4, 8)),
    tokens: 100,
    avoided: new Set<string>(),
    stop: new AbortController(),
  } as StreamRun;
  const asked: string[] = [];
  const refused: string[] = [];
  const left = [...answers];
  const parts = {
    stalls: {
      ask: async () => ({ kind: "stage_away", address: "dead:1" }),
    },
    router: {
      replaceStage(
        _last: ChosenPipeline,
        { avoided }: { avoided: ReadonlySet<string> },
      ) {
        const spare = ["s1", "s2", "s3", "s4"].find((id) => !avoided.has(id));
        return spare ? pipeline(kept, stage(spare, 4, 8)) : null;
      },
    },
    engines: {
      async changePipeline(
        _address: string,
        change: { pipeline: readonly AddressedStage[] },
      ) {
        asked.push(change.pipeline.at(-1)?.engineId ?? "");
        return left.shift();
      },
    },
    fleet: { doubts: { refused: (id: string) => refused.push(id) } },
  } as unknown as StreamParts;
  const call = {
    id: "r",
    service: {},
    route: { resumable: true, objectiveMs: 500 },
  } as CallerCall;
  const watch = watchSilence(call, run, parts);
  return { run, asked, refused, watch };
}

const full = (id: string): MoveAnswer => ({
  kind: "no_room",
  address: `${id}:1`,
});

describe("a stage that does not answer", () => {
  it("is replaced by the next engine when the first one is full", async () => {
    // An engine crashes under a burst. Forty answers move to the one other
    // engine with its layers, whose memory is soon full. Those that it refused
    // were begun anew on another pipeline, and some were cut after that.
    const { run, asked, refused, watch } = setUp([
      full("s1"),
      { kind: "moved" },
    ]);
    await vi.advanceTimersByTimeAsync(700);
    expect(asked).toEqual(["s1", "s2"]);
    expect(refused).toEqual(["s1"]);
    expect(run.pipeline.stages.at(-1)?.engineId).toBe("s2");
    expect(run.stop.signal.aborted).toBe(false);
    watch.end();
  });

  it("is given up after three engines without room", async () => {
    const answers = [full("s1"), full("s2"), full("s3")];
    const { run, asked, watch } = setUp(answers);
    await vi.advanceTimersByTimeAsync(700);
    expect(asked).toEqual(["s1", "s2", "s3"]);
    expect(run.stop.signal.aborted).toBe(true);
    watch.end();
  });

  it("is given up when a stage that stays has no room", async () => {
    const { run, asked, watch } = setUp([full("first")]);
    await vi.advanceTimersByTimeAsync(700);
    expect(asked).toEqual(["s1"]);
    expect(run.stop.signal.aborted).toBe(true);
    watch.end();
  });
});
