import { rmSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../seeded_random.ts";
import { FAULTS } from "./faults.ts";
import { PLANNED_WORK } from "./planned_work.ts";
import { runPlatformSoak } from "./soak_run.ts";

const DURATION_MS = 5_000;

describe("the soak of the real programs", () => {
  /**
   * Seed 1 is a sample. Seed 5 once judged requests that nothing listened for
   * as cut by a planned stop: an instance that starts again is not up yet.
   */
  it.each([1, 5])("holds every promise with seed %i", async (seed) => {
    const random = createSeededRandom(seed);
    const result = await runPlatformSoak(random, DURATION_MS, FAULTS);
    expect(result.broken).toEqual([]);
    expect(result.calls.some(({ answer }) => answer.status === 200)).toBe(true);
    rmSync(result.folder, { recursive: true });
  });

  // Guards against orders that run twice and streams that lose events when an
  // instance that serves requests of a cut-off one ends. Seed 6 begins with
  // that: two instances are cut off for 3 s, and the third one is killed.
  it("holds every promise while instances are cut off and end", async () => {
    const random = createSeededRandom(6);
    const result = await runPlatformSoak(random, 2 * DURATION_MS, [
      "instances_cut_off",
      "kill_instance",
      "freeze_instance",
      "stop_instance",
    ]);
    expect(result.broken).toEqual([]);
    expect(result.handedOff).toBeGreaterThan(0);
    expect(result.calls.some(({ answer }) => answer.status === 200)).toBe(true);
    rmSync(result.folder, { recursive: true });
  });

  // Guards against parts of prompts that are blamed for engines that end for
  // other reasons, answers that look complete because their connection ended,
  // and callers that are not served while all of them use one instance.
  it.each([12, 13])(
    "holds every promise while prompts end engines with seed %i",
    async (seed) => {
      const random = createSeededRandom(seed);
      const result = await runPlatformSoak(random, 2 * DURATION_MS, [
        "ending_prompts",
        "answers_unframed",
        "one_entry",
        "engine_ends",
        "stop_instance",
      ]);
      expect(result.broken).toEqual([]);
      expect(result.faults).toContain("ending_prompts");
      expect(result.calls.some(({ answer }) => answer.status === 200)).toBe(
        true,
      );
      rmSync(result.folder, { recursive: true });
    },
  );

  // Guards against callers that compete and starve, refusals without a usable
  // delay, and refused requests that run after all when instances end. Seed 3
  // is a sample. Seed 8 hands requests off that are refused there: the delay of
  // the other instance was passed on when it was over a third of the time left.
  it.each([3, 8])(
    "holds every promise while callers compete with seed %i",
    async (seed) => {
      const random = createSeededRandom(seed);
      const result = await runPlatformSoak(random, 6_000, [
        "stop_instance",
        "kill_instance",
        "burst",
      ]);
      expect(result.broken).toEqual([]);
      expect(result.faults).toContain("burst");
      expect(result.calls.some(({ answer }) => answer.status === 200)).toBe(
        true,
      );
      expect(result.calls.some(({ answer }) => answer.status === 503)).toBe(
        true,
      );
      rmSync(result.folder, { recursive: true });
    },
  );

  // Guards against requests that get neither an answer nor a refusal while the
  // configuration changes, settings are reloaded, engines are replaced, and
  // sound servers are silent for a second or two, also behind other requests of
  // their connection.
  it("holds every promise beside planned work alone", async () => {
    const random = createSeededRandom(7);
    const result = await runPlatformSoak(random, 2 * DURATION_MS, [
      ...PLANNED_WORK,
      "stop_instance",
      "burst",
    ]);
    expect(result.broken).toEqual([]);
    expect(result.faults).toContain("versions");
    expect(result.faults).toContain("engine_pauses");
    expect(result.ahead.some(({ answer }) => answer.status === 200)).toBe(true);
    expect(result.calls.some(({ answer }) => answer.status === 200)).toBe(true);
    rmSync(result.folder, { recursive: true });
  });

  // Guards against callers that keep to no limits and end a process, or take an
  // answer from those that do, while instances stop, the store is away and
  // servers are silent.
  it("holds every promise beside crowds with seed 21", async () => {
    const random = createSeededRandom(21);
    const result = await runPlatformSoak(random, 2 * DURATION_MS, [
      "crowd",
      "crowd",
      "versions",
      "stop_instance",
      "store_down",
      "engine_silent",
    ]);
    expect(result.broken).toEqual([]);
    expect(result.faults).toContain("crowd");
    expect(result.calls.some(({ answer }) => answer.status === 200)).toBe(true);
    rmSync(result.folder, { recursive: true });
  });
});
